package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.Dispatch;
import org.gatereel.core.forward.ProbeResult;
import org.gatereel.core.forward.ResponseEnd;
import org.gatereel.core.forward.ResponseHead;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.HeaderNames;
import org.gatereel.forward.TargetDialect;
import org.gatereel.forward.TargetReport;
import org.gatereel.forward.log.ForwardLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A target answered a long request before it had read all of it, and died. The host noticed that by
 * a write that failed, closed the connection itself, and took that close for the end of the answer:
 * the part that had come by then was reported as whole.
 */
class TargetConnectorTest {
  /** More than the buffers of both sides take, so that a write is always open. */
  private static final int LONG_BODY = 64 << 20;

  private static final int PATIENCE_SECONDS = 20;
  private static final long PROBE_MILLIS = 60_000;
  private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart";
  private static final HeaderNames NAMES =
      new HeaderNames(
          "Id",
          "Left",
          "Key",
          "Account",
          "Expected",
          "Signed",
          "Not-Run",
          "Takes",
          "Leaves",
          "Counts",
          "Parts",
          "Copy-To",
          "Copy-From",
          "Urgency",
          Set.of(),
          Set.of());

  private final ForwardLog log = new ForwardLog("test");
  private MultiThreadIoEventLoopGroup group;
  private ServerSocket target;
  private TargetConnector connector;

  private record Dialect(HeaderNames headers) implements TargetDialect {
    @Override
    public TargetReport readReport(byte[] answer) {
      return TargetReport.NONE;
    }

    @Override
    public String probePath() {
      return "/report";
    }

    @Override
    public String promptsPath() {
      return "/prompts";
    }

    @Override
    public Optional<Set<String>> readPrompts(byte[] answer) {
      return Optional.empty();
    }
  }

  /** Hears of one request; its end is a text. */
  private static final class Heard implements TargetPort.Listener {
    private final CountDownLatch answered = new CountDownLatch(1);
    private final CompletableFuture<String> outcome = new CompletableFuture<>();
    private final boolean wanted;

    private Heard(boolean wanted) {
      this.wanted = wanted;
    }

    @Override
    public boolean maySend() {
      return wanted;
    }

    @Override
    public void onSent() {}

    @Override
    public void onHead(ResponseHead head) {
      answered.countDown();
    }

    @Override
    public void onBody(byte[] bytes) {}

    @Override
    public void onEnd(ResponseEnd end) {
      outcome.complete(end.name());
    }

    @Override
    public void onFailure(TargetFailure failure) {
      outcome.complete(failure.name());
    }

    void awaitHead() throws InterruptedException {
      assertTrue(answered.await(PATIENCE_SECONDS, TimeUnit.SECONDS), "no head came");
    }

    String outcome() throws Exception {
      return outcome.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
  }

  @BeforeEach
  void open() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    ControlThread control = new ControlThread(group.next(), context, log);
    connector = new TargetConnector(control, new Dialect(NAMES));
  }

  @AfterEach
  void close() throws Exception {
    target.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    log.close();
  }

  private TargetDescription description() {
    return new TargetDescription(
        new TargetId("i-1"),
        TargetKind.ENGINE,
        new ServiceName("engines"),
        new DataCentre("north"),
        new Address("127.0.0.1", target.getLocalPort()),
        1,
        LifeState.LIVE);
  }

  private Heard send(byte[] body) {
    return send(body, true);
  }

  private Heard send(byte[] body, boolean wanted) {
    IncomingRequest request =
        new IncomingRequest(
            HttpMethod.POST,
            "/x",
            new DefaultHttpHeaders(),
            body,
            "1",
            "a.example",
            Optional.empty(),
            OptionalLong.empty(),
            OptionalLong.empty(),
            0,
            Optional.empty());
    Dispatch dispatch =
        new Dispatch(
            request,
            description(),
            Optional.empty(),
            PROBE_MILLIS,
            OptionalLong.empty(),
            Optional.empty(),
            Optional.empty(),
            false);
    Heard heard = new Heard(wanted);
    group.next().execute(() -> connector.send(dispatch, heard));
    return heard;
  }

  private CompletableFuture<ProbeResult> probe() {
    CompletableFuture<ProbeResult> result = new CompletableFuture<>();
    group.next().execute(() -> connector.probe(description(), PROBE_MILLIS, result::complete));
    return result;
  }

  /** Takes the next connection and reads the head of its request. */
  private Socket takeRequest() throws IOException {
    Socket socket = target.accept();
    socket.setSoTimeout(PATIENCE_SECONDS * 1_000);
    readHead(socket);
    return socket;
  }

  private static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    InputStream input = socket.getInputStream();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("the request was cut short");
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void takesNoFailedWriteForTheEndOfAnAnswer() throws Exception {
    Heard heard = send(new byte[LONG_BODY]);
    try (Socket socket = takeRequest()) {
      write(socket, UNFRAMED);
      heard.awaitHead();
      socket.setSoLinger(true, 0);
    }

    assertEquals("RESET", heard.outcome());
  }

  @Test
  void closesAConnectionWhoseTargetHasEndedTheAnswer() throws Exception {
    Heard heard = send(new byte[0]);
    try (Socket socket = takeRequest()) {
      write(socket, UNFRAMED);
      socket.shutdownOutput();

      assertEquals("CONNECTION_CLOSED", heard.outcome());
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void failsAndClosesIfTheTargetEndsBeforeAnyHead() throws Exception {
    Heard heard = send(new byte[0]);
    try (Socket socket = takeRequest()) {
      socket.shutdownOutput();

      assertEquals("RESET", heard.outcome());
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void doesNotFindATargetAliveThatEndsBeforeAnyHead() throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = takeRequest()) {
      socket.shutdownOutput();

      assertEquals(ProbeResult.UNKNOWN, result.get(PATIENCE_SECONDS, TimeUnit.SECONDS));
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void closesAProbesConnectionOnceTheTargetHasAnswered() throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = takeRequest()) {
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");

      assertEquals(ProbeResult.ALIVE, result.get(PATIENCE_SECONDS, TimeUnit.SECONDS));
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  /**
   * An address can be another process's by the time a target is probed. That process answers, which
   * was taken for a sign of the one before.
   */
  @Test
  void namesTheTargetThatAProbeIsMeantFor() throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = target.accept()) {
      String question = readHead(socket);
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

      assertEquals(ProbeResult.ALIVE, result.get(PATIENCE_SECONDS, TimeUnit.SECONDS));
      assertTrue(question.contains("\r\nExpected: i-1\r\n"), question);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "200 OK, ALIVE",
    "404 Not Found, ALIVE",
    "500 Internal Server Error, ALIVE",
    "503 Service Unavailable, ALIVE",
    "421 Misdirected Request, GONE",
  })
  void findsATargetAliveByAnyAnswerButThatItIsNotMeant(String line, ProbeResult expected)
      throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = takeRequest()) {
      write(socket, "HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n\r\n");

      assertEquals(expected, result.get(PATIENCE_SECONDS, TimeUnit.SECONDS));
    }
  }

  @Test
  void findsATargetGoneWhoseAddressRefusesConnections() throws Exception {
    target.close();

    assertEquals(ProbeResult.GONE, probe().get(PATIENCE_SECONDS, TimeUnit.SECONDS));
  }

  /** A busy target looks like this: its process is there, and it has no time to answer. */
  @Test
  void doesNotKnowOfATargetThatBreaksOrLeavesItsProbe() throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = takeRequest()) {
      socket.setSoLinger(true, 0);
    }

    assertEquals(ProbeResult.UNKNOWN, result.get(PATIENCE_SECONDS, TimeUnit.SECONDS));
  }

  /** The target may have said that it leaves while the connection came about. */
  @Test
  void aRequestThatIsNotWantedAnyMoreIsNotSent() throws Exception {
    Heard heard = send(new byte[1], false);

    try (Socket connection = target.accept()) {
      assertEquals(-1, connection.getInputStream().read());
    }
    assertEquals(TargetFailure.WITHDRAWN.name(), heard.outcome());
  }
}
