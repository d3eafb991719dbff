package org.gatereel.forward.http;

import static com.google.common.util.concurrent.Uninterruptibles.awaitUninterruptibly;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.Dispatch;
import org.gatereel.core.forward.ProbeResult;
import org.gatereel.core.forward.ResponseEnd;
import org.gatereel.core.forward.ResponseHead;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.reach.TargetReachability;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.HeaderNames;
import org.gatereel.forward.TargetDialect;
import org.gatereel.forward.TargetReport;
import org.gatereel.forward.log.ForwardLog;
import org.gatereel.forward.relay.TargetDialer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against reporting a truncated response as complete when this host closes the connection
 * after a failed write.
 */
class TargetConnectorTest {
  /** Larger than the socket buffers of both sides, so that a write is still pending. */
  private static final int LONG_BODY_BYTES = 64 << 20;

  private static final int TIMEOUT_SECONDS = 20;
  private static final long PROBE_TIMEOUT_MILLIS = 60_000;
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
          "Estimate",
          "Parts",
          "Copy-To",
          "Copy-From",
          "Urgency",
          Set.of(),
          Set.of());

  private final ForwardLog log = new ForwardLog("test");
  private MultiThreadIoEventLoopGroup group;
  private ServerSocket targetSocket;
  private TargetConnector connector;

  private record Dialect(HeaderNames headers) implements TargetDialect {
    @Override
    public TargetReport readReport(byte[] body) {
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
    public Optional<Set<String>> readPrompts(byte[] body) {
      return Optional.empty();
    }
  }

  /** Records the outcome of one request as the name of an end or a failure. */
  private static final class RecordingListener implements TargetPort.Listener {
    private final CountDownLatch headReceived = new CountDownLatch(1);
    private final CompletableFuture<String> outcome = new CompletableFuture<>();
    private final BooleanSupplier mayBeSent;

    private RecordingListener(BooleanSupplier mayBeSent) {
      this.mayBeSent = mayBeSent;
    }

    @Override
    public boolean maySend() {
      return mayBeSent.getAsBoolean();
    }

    @Override
    public void onSent() {}

    @Override
    public void onHead(ResponseHead head) {
      headReceived.countDown();
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
      assertTrue(
          headReceived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no response head was received");
    }

    String outcome() throws Exception {
      return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  @BeforeEach
  void open() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    targetSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    ControlThread control = new ControlThread(group.next(), context, log);
    TargetRegistry targets = new TargetRegistry(context, new PolicyTable());
    TargetReachability reachability =
        new TargetReachability(context, targets, target -> TargetLoad.NONE, List::of);
    connector =
        new TargetConnector(
            control,
            new Dialect(NAMES),
            reachability,
            new TargetDialer(control, reachability, UnaryOperator.identity()),
            UnaryOperator.identity());
  }

  @AfterEach
  void close() throws Exception {
    targetSocket.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    log.close();
  }

  private TargetDescription description() {
    return new TargetDescription(
        new TargetId("i-1"),
        TargetKind.ENGINE,
        new ServiceName("engines"),
        new DataCentre("north"),
        new Address("127.0.0.1", targetSocket.getLocalPort()),
        1,
        LifeState.LIVE);
  }

  private RecordingListener send(byte[] body) {
    return send(body, () -> true);
  }

  private RecordingListener send(byte[] body, BooleanSupplier mayBeSent) {
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
            OptionalLong.empty(),
            "",
            Optional.empty(),
            List.of());
    Dispatch dispatch =
        new Dispatch(
            request,
            description(),
            Optional.empty(),
            PROBE_TIMEOUT_MILLIS,
            OptionalLong.empty(),
            Optional.empty(),
            Optional.empty(),
            OptionalInt.empty());
    RecordingListener listener = new RecordingListener(mayBeSent);
    group.next().execute(() -> connector.send(dispatch, listener));
    return listener;
  }

  private CompletableFuture<ProbeResult> probe() {
    CompletableFuture<ProbeResult> result = new CompletableFuture<>();
    group
        .next()
        .execute(() -> connector.probe(description(), PROBE_TIMEOUT_MILLIS, result::complete));
    return result;
  }

  /** Accepts the next connection and reads the head of its request. */
  private Socket acceptRequest() throws IOException {
    Socket socket = targetSocket.accept();
    socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
    readHead(socket);
    return socket;
  }

  private static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    InputStream input = socket.getInputStream();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("request head is truncated");
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void failsAnUnframedResponseAfterAFailedWrite() throws Exception {
    RecordingListener listener = send(new byte[LONG_BODY_BYTES]);
    try (Socket socket = acceptRequest()) {
      write(socket, UNFRAMED);
      listener.awaitHead();
      socket.setSoLinger(true, 0);
    }

    assertEquals("RESET", listener.outcome());
  }

  @Test
  void closesTheConnectionAfterTheTargetEndsTheResponse() throws Exception {
    RecordingListener listener = send(new byte[0]);
    try (Socket socket = acceptRequest()) {
      write(socket, UNFRAMED);
      socket.shutdownOutput();

      assertEquals("CONNECTION_CLOSED", listener.outcome());
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void failsAndClosesIfTheTargetClosesBeforeTheHead() throws Exception {
    RecordingListener listener = send(new byte[0]);
    try (Socket socket = acceptRequest()) {
      socket.shutdownOutput();

      assertEquals("RESET", listener.outcome());
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void reportsUnknownIfAProbeIsClosedBeforeTheHead() throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = acceptRequest()) {
      socket.shutdownOutput();

      assertEquals(ProbeResult.UNKNOWN, result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void closesTheConnectionOfACompletedProbe() throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = acceptRequest()) {
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");

      assertEquals(ProbeResult.ALIVE, result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  /**
   * Guards against taking the response of another process at a reused address as proof that the
   * probed target is alive.
   */
  @Test
  void sendsTheIdOfTheProbedTarget() throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = targetSocket.accept()) {
      String requestHead = readHead(socket);
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

      assertEquals(ProbeResult.ALIVE, result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      assertTrue(requestHead.contains("\r\nExpected: i-1\r\n"), requestHead);
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
  void reportsATargetAliveForAnyStatusExcept421(String line, ProbeResult expected)
      throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = acceptRequest()) {
      write(socket, "HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n\r\n");

      assertEquals(expected, result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }

  @Test
  void reportsATargetGoneIfTheConnectionIsRefused() throws Exception {
    targetSocket.close();

    assertEquals(ProbeResult.GONE, probe().get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** A live but overloaded target can reset or close the connection of a probe. */
  @Test
  void reportsUnknownIfAProbeIsReset() throws Exception {
    CompletableFuture<ProbeResult> result = probe();
    try (Socket socket = acceptRequest()) {
      socket.setSoLinger(true, 0);
    }

    assertEquals(ProbeResult.UNKNOWN, result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** The target may announce that it is draining while the connection is being established. */
  @Test
  void doesNotSendAWithdrawnRequest() throws Exception {
    RecordingListener listener = send(new byte[1], () -> false);

    try (Socket connection = targetSocket.accept()) {
      assertEquals(-1, connection.getInputStream().read());
    }
    assertEquals(TargetFailure.WITHDRAWN.name(), listener.outcome());
  }

  /** Guards against a request that is sent although its caller's disconnect came before. */
  @Test
  void doesNotSendARequestWhoseCallerLeftWhileTheEventLoopWasBusy() throws Exception {
    CountDownLatch accepted = new CountDownLatch(1);
    CountDownLatch callerClosed = new CountDownLatch(1);
    AtomicBoolean callerGone = new AtomicBoolean();
    ServerChannel callers = listen(accepted, callerGone);
    InetSocketAddress address = (InetSocketAddress) callers.localAddress();

    RecordingListener listener;
    try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
      assertTrue(accepted.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      listener = sendAndBlock(() -> !callerGone.get(), callerClosed);
      try (Socket connection = targetSocket.accept()) {
        caller.close();
        callerClosed.countDown();

        assertEquals(-1, connection.getInputStream().read());
      }
    }

    assertEquals(TargetFailure.WITHDRAWN.name(), listener.outcome());
  }

  /**
   * Sends a request and blocks the event loop once it is connecting. Both are begun by one task, so
   * that no connection is established before the block.
   */
  private RecordingListener sendAndBlock(BooleanSupplier mayBeSent, CountDownLatch until)
      throws Exception {
    EventLoop loop = group.next();
    Callable<RecordingListener> sending =
        () -> {
          RecordingListener listener = send(new byte[1], mayBeSent);
          blockOnceConnecting(loop, until);
          return listener;
        };
    return loop.submit(sending).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Two tasks before this one begin to connect, each from the one before. */
  private static void blockOnceConnecting(EventLoop loop, CountDownLatch until) {
    Runnable block =
        () -> assertTrue(awaitUninterruptibly(until, TIMEOUT_SECONDS, TimeUnit.SECONDS));
    loop.execute(() -> loop.execute(() -> loop.execute(block)));
  }

  private ServerChannel listen(CountDownLatch accepted, AtomicBoolean gone) throws Exception {
    return (ServerChannel)
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInboundHandlerAdapter() {
                  @Override
                  public void channelActive(ChannelHandlerContext context) {
                    accepted.countDown();
                  }

                  @Override
                  public void channelInactive(ChannelHandlerContext context) {
                    gone.set(true);
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), 0)
            .sync()
            .channel();
  }
}
