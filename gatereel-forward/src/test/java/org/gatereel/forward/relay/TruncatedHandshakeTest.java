package org.gatereel.forward.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.reach.RelayOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against concluding from a relaying host's truncated head that a target is connected, or
 * that it cannot be reached.
 */
class TruncatedHandshakeTest {
  private static final int TIMEOUT_MILLIS = 10_000;

  /** Shorter than the time after which a host that says nothing counts as silent. */
  private static final int RESULT_TIMEOUT_MILLIS = 5_000;

  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private ServerSocket peer;

  @BeforeEach
  void open() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    peer.setSoTimeout(TIMEOUT_MILLIS);
  }

  @AfterEach
  void close() throws Exception {
    peer.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
  }

  private static RelayClient.RelayRequest request() {
    TargetDescription target =
        new TargetDescription(
            new TargetId("i-1"),
            TargetKind.ENGINE,
            new ServiceName("engines"),
            new DataCentre("north"),
            new Address("127.0.0.1", 1),
            1,
            LifeState.LIVE);
    return new RelayClient.RelayRequest(target, "r", TIMEOUT_MILLIS);
  }

  /** Returns the outcome for a host that sends these bytes and then closes or resets. */
  private RelayOutcome outcome(String bytes, boolean isReset) throws Exception {
    CompletableFuture<RelayOutcome> result = new CompletableFuture<>();
    Address address = new Address("127.0.0.1", peer.getLocalPort());
    Channel channel =
        new RelayClient(loop)
            .open(
                address, request(), TIMEOUT_MILLIS, (outcome, opened) -> result.complete(outcome));
    try (Socket socket = peer.accept()) {
      InputStream input = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) input.read());
      }
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      if (isReset) {
        socket.setSoLinger(true, 0);
      }
    }
    RelayOutcome outcome = result.get(RESULT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    channel.close().await();
    return outcome;
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 200 OK||, CONNECTED",
    "HTTP/1.1 502 Bad Gateway|Content-Length: 0||, TARGET_UNREACHABLE",
    "HTTP/1.1 503 Service Unavailable|Content-Length: 0||, UNAVAILABLE",
  })
  void aTruncatedHeadIsNoResponse(String lines, RelayOutcome expected) throws Exception {
    String whole = lines.replace("|", "\r\n");
    for (int length = 0; length < whole.length(); length++) {
      String cut = whole.substring(0, length);

      assertEquals(RelayOutcome.NO_RESPONSE, outcome(cut, true), "reset: " + cut);
      assertEquals(RelayOutcome.NO_RESPONSE, outcome(cut, false), "closed: " + cut);
    }
    assertEquals(expected, outcome(whole, false));
  }
}
