package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.document.DocumentSources.PeerDocument;
import org.gatereel.core.model.Address;
import org.junit.jupiter.api.Test;

class PeerClientTest {
  /** Guards against a refresh that throws because the query of the one before is still open. */
  @Test
  void fetchDuringAnotherOneOfTheSameHostIsSent() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = (EventLoop) group.next();
    CompletableFuture<Optional<List<PeerDocument>>> first = new CompletableFuture<>();
    CompletableFuture<Optional<List<PeerDocument>>> second = new CompletableFuture<>();
    try (ServerSocket silentHost = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        PeerClient client = new PeerClient(loop)) {
      Address address = new Address("127.0.0.1", silentHost.getLocalPort());
      loop.submit(
              () -> {
                client.fetch(address, new DocumentCache(), first::complete);
                client.fetch(address, new DocumentCache(), second::complete);
              })
          .sync();

      assertEquals(Optional.empty(), first.get(10, TimeUnit.SECONDS));
      assertEquals(Optional.empty(), second.get(10, TimeUnit.SECONDS));
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    }
  }
}
