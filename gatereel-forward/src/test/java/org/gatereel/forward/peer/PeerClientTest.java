package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.document.DocumentSources.PeerDocument;
import org.gatereel.core.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerClientTest {
  private static final String EMPTY_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]";
  private static final long MAX_WAIT_SECONDS = 10;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final PeerClient client = new PeerClient(loop);
  private final CompletableFuture<Optional<List<PeerDocument>>> first = new CompletableFuture<>();
  private final CompletableFuture<Optional<List<PeerDocument>>> second = new CompletableFuture<>();

  @AfterEach
  void close() throws InterruptedException {
    loop.submit(client::close).sync();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
  }

  private static ServerSocket listen() throws IOException {
    ServerSocket host = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    host.setSoTimeout((int) TimeUnit.SECONDS.toMillis(MAX_WAIT_SECONDS));
    return host;
  }

  private static Address addressOf(ServerSocket host) {
    return new Address("127.0.0.1", host.getLocalPort());
  }

  private void fetchFromBoth(Address firstHost, Address secondHost) throws InterruptedException {
    loop.submit(
            () -> {
              client.fetch(firstHost, new DocumentCache(), first::complete);
              client.fetch(secondHost, new DocumentCache(), second::complete);
            })
        .sync();
  }

  private static Optional<List<PeerDocument>> result(
      CompletableFuture<Optional<List<PeerDocument>>> fetch) throws Exception {
    return fetch.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
  }

  /** Guards against a refresh that throws because the query of the one before is still open. */
  @Test
  void fetchDuringAnotherOneOfTheSameHostIsSent() throws Exception {
    try (ServerSocket silentHost = listen()) {
      fetchFromBoth(addressOf(silentHost), addressOf(silentHost));
      assertEquals(Optional.empty(), result(first));
      assertEquals(Optional.empty(), result(second));
    }
  }

  /** Guards against hosts that are queried side by side, of which only the last one is heard. */
  @Test
  void fetchFromAnotherHostDoesNotEndTheOpenOne() throws Exception {
    try (ServerSocket host = listen();
        ServerSocket silentHost = listen()) {
      fetchFromBoth(addressOf(host), addressOf(silentHost));
      try (Socket connection = host.accept()) {
        connection.getOutputStream().write(EMPTY_RESPONSE.getBytes(StandardCharsets.US_ASCII));
        assertEquals(Optional.of(List.of()), result(first));
      }
      assertEquals(Optional.empty(), result(second));
    }
  }

  @Test
  void openFetchesEndWhenTheClientIsClosed() throws Exception {
    try (ServerSocket silentHost = listen()) {
      fetchFromBoth(addressOf(silentHost), addressOf(silentHost));
      loop.submit(client::close).sync();
      assertEquals(Optional.empty(), first.getNow(null));
      assertEquals(Optional.empty(), second.getNow(null));
    }
  }
}
