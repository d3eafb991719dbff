package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against handling a request of another host whose connection ended within its head. */
class TruncatedStatusRequestsTest {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final String WHOLE = "GET /whole HTTP/1.1\r\n\r\n";

  private final Queue<String> handled = new ConcurrentLinkedQueue<>();
  private MultiThreadIoEventLoopGroup group;
  private StatusServer server;
  private Address address;

  @BeforeEach
  void start() throws Exception {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new Address("127.0.0.1", free.getLocalPort());
    }
    server =
        new StatusServer(loop)
            .addQueryPage("/query", target -> page("query " + target))
            .addReceiver("/report", body -> page("report of " + body.length + " bytes"))
            .addPage("/whole", () -> page("whole"))
            .setConnectHandler(
                (request, channel) -> {
                  handled.add("connect");
                  channel.close();
                });
    server.start(address);
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
  }

  private StatusServer.Page page(String text) {
    handled.add(text);
    return new StatusServer.Page(200, text);
  }

  /** Sends bytes and closes, then waits until the server has handled a later request. */
  private void sendAndEnd(String bytes, boolean isReset) throws Exception {
    try (Socket socket = new Socket(address.ip(), address.port())) {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      socket.setSoLinger(isReset, 0);
    }
    assertEquals('H', exchange(WHOLE));
    handled.removeIf("whole"::equals);
  }

  /** Sends a request; returns the first byte of what follows it, or -1 at the end. */
  private int exchange(String request) throws Exception {
    try (Socket socket = new Socket(address.ip(), address.port())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return socket.getInputStream().read();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /query?count=12 HTTP/1.1|Host: x||",
        "POST /report HTTP/1.1|Host: x|Content-Length: 0||",
        "CONNECT 127.0.0.1:1 HTTP/1.1|Host: x|Relay-Target: i-1||",
      })
  void aRequestCutInItsHeadIsNotHandled(String lines) throws Exception {
    String head = lines.replace("|", "\r\n");
    for (int length = 0; length < head.length(); length++) {
      String cut = head.substring(0, length);
      sendAndEnd(cut, false);
      sendAndEnd(cut, true);

      assertEquals("[]", handled.toString(), cut);
    }
    exchange(head);
    assertEquals(1, handled.size());
  }
}
