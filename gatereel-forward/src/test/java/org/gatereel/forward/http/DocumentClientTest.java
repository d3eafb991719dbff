package org.gatereel.forward.http;

import static com.google.common.util.concurrent.Uninterruptibles.awaitUninterruptibly;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gatereel.core.model.Address;
import org.gatereel.forward.http.DocumentClient.Document;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against accepting truncated documents, and against passing the response that follows an
 * interim one to a later request.
 */
class DocumentClientTest {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final long SHORT_TIMEOUT_MILLIS = 400;

  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private ServerSocket server;
  private DocumentClient client;

  @BeforeEach
  void open() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = (EventLoop) group.next();
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    server.setSoTimeout(TIMEOUT_MILLIS);
    client = new DocumentClient(loop, new Address("127.0.0.1", server.getLocalPort()));
  }

  @AfterEach
  void close() throws Exception {
    loop.submit(client::close).await();
    server.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
  }

  /** Sends a request on the client's thread; the result is "none", or the status and the body. */
  private CompletableFuture<String> get(String path) {
    CompletableFuture<String> result = new CompletableFuture<>();
    loop.execute(() -> getOnLoop(path, result));
    return result;
  }

  private void getOnLoop(String path, CompletableFuture<String> result) {
    client.get(path, TIMEOUT_MILLIS, document -> result.complete(text(document)));
  }

  private static String text(Optional<Document> document) {
    return document
        .map(found -> found.status() + " " + new String(found.body(), StandardCharsets.US_ASCII))
        .orElse("none");
  }

  private static String await(CompletableFuture<String> result) throws Exception {
    return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private Socket accept() throws IOException {
    Socket socket = server.accept();
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static void readRequest(Socket socket) throws IOException {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    String line = reader.readLine();
    while (line != null && !line.isEmpty()) {
      line = reader.readLine();
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Length: 3||1",
        "HTTP/1.1 200 OK|Content-Length: 1||",
        "HTTP/1.1 200 OK|Content-Length: 1|Content-Length: 2||12",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|1",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|12|",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|12|0|",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|12|what|",
        "HTTP/1.1 200 OK|Transfer-Encoding: gzip, chunked||2|12|0||",
        "HTTP/1.1 200 OK|Content-Le",
        "HTTP/1.1 101 Switching Protocols||",
        "HTTP/1.1 100 Continue||",
        "",
      })
  void rejectsATruncatedResponse(String response) throws Exception {
    CompletableFuture<String> result = get("/");
    try (Socket socket = accept()) {
      readRequest(socket);
      write(socket, response);
    }

    assertEquals("none", await(result));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Length: 2||12",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|12|0||",
      })
  void readsADocument(String response) throws Exception {
    CompletableFuture<String> result = get("/");
    try (Socket socket = accept()) {
      readRequest(socket);
      write(socket, response);

      assertEquals("200 12", await(result));
    }
  }

  @Test
  void passesNoResponseToALaterRequest() throws Exception {
    CompletableFuture<String> second = new CompletableFuture<>();
    CompletableFuture<String> first = new CompletableFuture<>();
    loop.execute(
        () ->
            client.get(
                "/first",
                TIMEOUT_MILLIS,
                document -> {
                  first.complete(text(document));
                  getOnLoop("/second", second);
                }));
    try (Socket socket = accept()) {
      readRequest(socket);
      write(socket, "HTTP/1.1 103 Early Hints||HTTP/1.1 200 OK|Content-Length: 5||first");
      assertEquals("none", await(first));
      try (Socket next = accept()) {
        readRequest(next);
        write(next, "HTTP/1.1 200 OK|Content-Length: 6||second");
        assertEquals("200 second", await(second));
      }
    }
  }

  /** Guards against a heap that is filled by the lists of several faulty targets. */
  @Test
  void documentBeyondTheLimitOfItsClientIsAnError() throws Exception {
    loop.submit(client::close).sync();
    client = new DocumentClient(loop, new Address("127.0.0.1", server.getLocalPort()), 1_000);
    CompletableFuture<String> result = get("/list");
    try (Socket socket = accept()) {
      readRequest(socket);
      String head = "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n";
      socket
          .getOutputStream()
          .write((head + "x".repeat(1_001)).getBytes(StandardCharsets.US_ASCII));

      assertEquals("none", await(result));
    }
  }

  private void exchange(Socket socket, String path) throws Exception {
    CompletableFuture<String> result = get(path);
    readRequest(socket);
    write(socket, "HTTP/1.1 200 OK|Content-Length: 2||12");
    assertEquals("200 12", await(result));
  }

  /** Guards against reads over a connection that was lost without a reset while it rested. */
  @Test
  void connectionThatHasRestedIsReplaced() throws Exception {
    AtomicLong now = new AtomicLong();
    loop.submit(client::close).sync();
    client =
        new DocumentClient(loop, new Address("127.0.0.1", server.getLocalPort()), 1_000, now::get);
    CompletableFuture<String> first = get("/first");
    try (Socket socket = accept()) {
      readRequest(socket);
      write(socket, "HTTP/1.1 200 OK|Content-Length: 2||12");
      assertEquals("200 12", await(first));
      now.addAndGet(DocumentClient.MAX_IDLE_MILLIS);
      exchange(socket, "/second");
      now.addAndGet(DocumentClient.MAX_IDLE_MILLIS + 1);
      CompletableFuture<String> afterRest = get("/third");
      try (Socket next = accept()) {
        readRequest(next);
        write(next, "HTTP/1.1 200 OK|Content-Length: 2||34");
        assertEquals("200 34", await(afterRest));
      }
    }
  }

  /** Guards against a failed read whose response arrived while the event loop stood still. */
  @Test
  void responseThatArrivedWhileTheEventLoopStoodStillIsRead() throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    loop.execute(
        () -> client.get("/", SHORT_TIMEOUT_MILLIS, document -> result.complete(text(document))));
    try (Socket socket = accept()) {
      readRequest(socket);
      loop.execute(
          () ->
              new DocumentClient(loop, new Address("127.0.0.1", server.getLocalPort()))
                  .get("/hold", TIMEOUT_MILLIS, document -> hold(held, released)));
      try (Socket holding = accept()) {
        readRequest(holding);
        write(holding, "HTTP/1.1 200 OK|Content-Length: 2||12");
        held.await();
        write(socket, "HTTP/1.1 200 OK|Content-Length: 2||12");
        released.await(2 * SHORT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        released.countDown();
        assertEquals("200 12", await(result));
      }
    }
  }

  /** Holds the event loop while it handles a received event, after which due timers run first. */
  private static void hold(CountDownLatch held, CountDownLatch released) {
    held.countDown();
    awaitUninterruptibly(released);
  }
}
