package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.log.ForwardLog;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against reading a truncated response, in which a part of a number is a number as well. */
class TokenClientTest {
  private static final int TIMEOUT_SECONDS = 20;

  @ParameterizedTest
  @CsvSource({
    "Content-Length: 5||12 34, 12",
    "Transfer-Encoding: chunked||2|12|3| 34|0||, 12",
    "Content-Length: 5||12 3, 0",
    "Transfer-Encoding: chunked||5|12 3, 0",
    "X: y||12 3, 0",
    "Content-Length: 2||12, 0",
  })
  void readsOnlyCompleteResponses(String response, int expected) throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    try (ServerSocket issuer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ForwardLog log = new ForwardLog("test");
        TokenClient client = new TokenClient(new ControlThread(group.next(), context, log))) {
      Address address = new Address("127.0.0.1", issuer.getLocalPort());
      CompletableFuture<Integer> granted = new CompletableFuture<>();
      TokenRequest retryTokens = new TokenRequest.RetryTokens(new ServiceName("s"));
      group
          .next()
          .execute(
              () ->
                  client.requestTokens(
                      address,
                      retryTokens,
                      12,
                      grant -> granted.complete(grant.map(TokenGrant::granted).orElse(0))));
      try (Socket socket = issuer.accept()) {
        readRequest(socket);
        String bytes = ("HTTP/1.1 200 OK|" + response).replace("|", "\r\n");
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      }

      assertEquals(expected, granted.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    }
  }

  private static void readRequest(Socket socket) throws Exception {
    InputStream input = socket.getInputStream();
    StringBuilder requestHead = new StringBuilder();
    while (requestHead.indexOf("\r\n\r\n") < 0) {
      requestHead.append((char) input.read());
    }
  }
}
