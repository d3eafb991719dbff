package org.gatereel.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against results that are read from a host's truncated response. */
class TruncatedHostResponsesTest {
  private static final String PAGE = "engines version=v7 state=COMPLETED\n";

  private ServerSocket listener;
  private String address;
  private volatile byte[] response;

  @BeforeEach
  void start() throws Exception {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    address = "127.0.0.1:" + listener.getLocalPort();
    Thread server = new Thread(this::serve, "host");
    server.setDaemon(true);
    server.start();
  }

  @AfterEach
  void stop() throws Exception {
    listener.close();
  }

  /** Sends the same bytes in response to each request, and closes. */
  private void serve() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        readRequest(socket.getInputStream());
        socket.getOutputStream().write(response);
      } catch (IOException e) {
        // The listener or a client closed.
      }
    }
  }

  private static void readRequest(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("the request is truncated");
      }
      head.append((char) next);
    }
  }

  private void respond(String text) {
    response = text.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII);
  }

  private String rollout(ExitCode expected) {
    return CommandOutput.capture(expected, "rollout", "counters", "--at", address);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Length: 0||",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||0||",
        "HTTP/1.0 200 OK|X-A: b| c: d||",
        "HTTP/1.1 204 No Content||",
      })
  void aTruncatedHeadIsNoResponse(String lines) throws Exception {
    String whole = lines.replace("|", "\r\n");
    int headLength = whole.indexOf("\r\n\r\n") + 4;
    try (AdminClient client = new AdminClient(List.of(address), "key")) {
      for (int length = 0; length < headLength; length++) {
        respond(whole.substring(0, length));

        assertThrows(ControlException.class, client::status);
        assertThrows(ControlException.class, () -> client.drain(address));
        rollout(ExitCode.UNREACHABLE);
      }
    }
  }

  /** A page has no mark of its end, so that a part of it looks like a page of fewer services. */
  @Test
  void aPageWithoutAnEndIsNotPrintedAsAWholeOne() {
    respond("HTTP/1.1 200 OK|Connection: close||" + PAGE);

    String text = rollout(ExitCode.UNREACHABLE);
    assertTrue(text.contains("does not answer"), text);
  }

  @Test
  void aResponseThatIsNoPageIsNotPrintedAsOne() {
    respond("HTTP/1.1 503 Service Unavailable|Content-Length: 0||");

    assertEquals(-1, rollout(ExitCode.UNREACHABLE).indexOf("no roll-out"));
  }
}
