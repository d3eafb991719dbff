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

/**
 * The answer of a host that lends is numbers, of which a part are numbers too. One without a
 * length, whose connection ended after a first digit, was taken for the whole.
 */
class LoanClientTest {
  private static final int PATIENCE_SECONDS = 20;

  @ParameterizedTest
  @CsvSource({
    "Content-Length: 5||12 34, 12",
    "Transfer-Encoding: chunked||2|12|3| 34|0||, 12",
    "Content-Length: 5||12 3, 0",
    "Transfer-Encoding: chunked||5|12 3, 0",
    "X: y||12 3, 0",
    "Content-Length: 2||12, 0",
  })
  void takesNoPartOfANumberForTheNumber(String answer, int expected) throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    try (ServerSocket lender = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ForwardLog log = new ForwardLog("test");
        LoanClient client = new LoanClient(new ControlThread(group.next(), context, log))) {
      Address address = new Address("127.0.0.1", lender.getLocalPort());
      CompletableFuture<Integer> lent = new CompletableFuture<>();
      TokenRequest repeats = new TokenRequest.RetryTokens(new ServiceName("s"));
      group
          .next()
          .execute(
              () ->
                  client.requestTokens(
                      address,
                      repeats,
                      12,
                      loan -> lent.complete(loan.map(TokenGrant::granted).orElse(0))));
      try (Socket socket = lender.accept()) {
        readQuestion(socket);
        String bytes = ("HTTP/1.1 200 OK|" + answer).replace("|", "\r\n");
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      }

      assertEquals(expected, lent.get(PATIENCE_SECONDS, TimeUnit.SECONDS));
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    }
  }

  private static void readQuestion(Socket socket) throws Exception {
    InputStream input = socket.getInputStream();
    StringBuilder question = new StringBuilder();
    while (question.indexOf("\r\n\r\n") < 0) {
      question.append((char) input.read());
    }
  }
}
