package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.model.Address;
import org.gatereel.forward.http.DocumentClient.Document;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against documents that are made of a response whose connection ended within its head, and
 * against a document without a length that passes for one whose end is proven.
 */
class TruncatedDocumentHeadsTest {
  private static final int TIMEOUT_MILLIS = 20_000;

  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private ServerSocket server;

  @BeforeEach
  void open() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    server.setSoTimeout(TIMEOUT_MILLIS);
  }

  @AfterEach
  void close() throws Exception {
    server.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
  }

  /** Returns what a client makes of the bytes that a server sends before it closes or resets. */
  private Optional<Document> read(String bytes, boolean isReset) throws Exception {
    CompletableFuture<Optional<Document>> result = new CompletableFuture<>();
    DocumentClient client =
        new DocumentClient(loop, new Address("127.0.0.1", server.getLocalPort()));
    loop.execute(() -> client.get("/", TIMEOUT_MILLIS, result::complete));
    try (Socket socket = server.accept()) {
      readRequest(socket);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      if (isReset) {
        socket.setSoLinger(true, 0);
      }
    }
    Optional<Document> document = result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    loop.submit(client::close).await();
    return document;
  }

  private static void readRequest(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) input.read());
    }
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 200 OK|Store-Era: 12|Content-Length: 2||, 12",
    "HTTP/1.1 200 OK|Transfer-Encoding: chunked||, 2|12|0|X-Late: 1||",
    "HTTP/1.1 200 OK|Content-Length: 2|X-A: b| c||, 12",
    "HTTP/1.0 200 OK|Content-Length: 2||, 12",
    "HTTP/1.1 204 No Content|Store-Era: 12||, ''",
  })
  void aTruncatedResponseIsNoDocument(String head, String body) throws Exception {
    String whole = (head + body).replace("|", "\r\n");
    for (int length = 0; length < whole.length(); length++) {
      String cut = whole.substring(0, length);

      assertTrue(read(cut, false).isEmpty(), cut);
      assertTrue(read(cut, true).isEmpty(), cut);
    }
    assertTrue(read(whole, false).orElseThrow().isSelfDelimited());
  }

  @ParameterizedTest
  @CsvSource({"HTTP/1.1 200 OK|Store-Era: 12||", "HTTP/1.0 200 OK|X-A: b| c||"})
  void aDocumentWithoutALengthIsNotProvenWhole(String headLines) throws Exception {
    String head = headLines.replace("|", "\r\n");
    for (int length = 0; length < head.length(); length++) {
      String cut = head.substring(0, length);

      assertTrue(read(cut, false).isEmpty(), cut);
      assertTrue(read(cut, true).isEmpty(), cut);
    }
    Document document = read(head + "12", false).orElseThrow();
    assertEquals("12", new String(document.body(), StandardCharsets.US_ASCII));
    assertFalse(document.isSelfDelimited());
    assertTrue(read(head + "12", true).isEmpty());
  }

  @ParameterizedTest
  @CsvSource({"HTTP/1.1 100 Continue||", "HTTP/1.1 103 Early Hints|Link: x||"})
  void aResponseAfterAnInterimHeadIsNoDocument(String interim) throws Exception {
    String whole = (interim + "HTTP/1.1 200 OK|Content-Length: 2||12").replace("|", "\r\n");
    for (int length = 0; length <= whole.length(); length++) {
      assertTrue(read(whole.substring(0, length), false).isEmpty());
    }
  }
}
