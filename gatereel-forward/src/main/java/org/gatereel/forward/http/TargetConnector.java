package org.gatereel.forward.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.Dispatch;
import org.gatereel.core.forward.ProbeResult;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.reach.TargetReachability;
import org.gatereel.core.statement.Announcements;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.HeaderNames;
import org.gatereel.forward.TargetDialect;
import org.gatereel.forward.relay.RelayClient;
import org.gatereel.forward.relay.TargetDialer;

/**
 * Sends requests to targets, each on a new connection.
 *
 * <p>A new connection carries no leftover response of an earlier request and has not been closed by
 * the target while idle. So a response always belongs to its request, and a failure to connect
 * proves that the target did not receive the request. Requests are not retried by this class.
 */
public final class TargetConnector implements TargetPort {
  private static final String PROBE_ID = "probe";
  private static final long DIRECT_PROBE_TIMEOUT_MILLIS = 250;

  /** Several targets are asked at once, and each may be faulty. */
  private static final int MAX_PROMPT_LIST_BYTES = 256 << 10;

  private final ControlThread control;
  private final TargetDialect dialect;
  private final HeaderNames names;
  private final UnaryOperator<Address> translation;
  private final TargetReachability reachability;
  private final TargetDialer dialer;

  /**
   * Creates a connector.
   *
   * @param translation returns the address at which this host reaches a target, from the one that
   *     the platform lists
   */
  public TargetConnector(
      ControlThread control,
      TargetDialect dialect,
      TargetReachability reachability,
      TargetDialer dialer,
      UnaryOperator<Address> translation) {
    this.control = control;
    this.dialect = dialect;
    this.names = dialect.headers();
    this.translation = translation;
    this.reachability = reachability;
    this.dialer = dialer;
    reachability.setDirectProbe(this::probeDirectly);
  }

  @Override
  public Call send(Dispatch dispatch, Listener listener) {
    IncomingRequest request = (IncomingRequest) dispatch.request();
    TargetCallHandler handler =
        new TargetCallHandler(
            control,
            request.method(),
            listener,
            head -> TargetResponseHead.read(head, request.id(), names));
    long dispatchedAtMillis = ControlThread.nowMillis();
    TargetDialer.Dial dial =
        dialer.dial(
            new RelayClient.RelayRequest(
                dispatch.target(), request.id(), dispatch.remainingMillis()),
            new DialListener(
                control,
                handler,
                () ->
                    outgoingRequest(
                        request, dispatch, ControlThread.nowMillis() - dispatchedAtMillis)));
    return () -> {
      handler.stopReporting();
      dial.close();
    };
  }

  @Override
  public void probe(TargetDescription target, long timeoutMillis, ProbeListener listener) {
    DirectProbeListener directListener =
        new DirectProbeListener(target, ControlThread.nowMillis() + timeoutMillis, listener);
    ProbeHandler handler = new ProbeHandler(control, target.id(), dialect, directListener);
    directListener.dial =
        dialer.dial(
            new RelayClient.RelayRequest(target, PROBE_ID, timeoutMillis),
            new DialListener(control, handler, () -> probeRequest(target)));
    failAfter(handler, timeoutMillis, directListener.dial::close);
  }

  /** Probes again through another host if the direct connection broke without a response. */
  private final class DirectProbeListener implements ProbeListener {
    private final TargetDescription target;
    private final long deadlineMillis;
    private final ProbeListener listener;
    private TargetDialer.Dial dial;

    private DirectProbeListener(
        TargetDescription target, long deadlineMillis, ProbeListener listener) {
      this.target = target;
      this.deadlineMillis = deadlineMillis;
      this.listener = listener;
    }

    @Override
    public void onAnnouncements(Announcements announcements) {
      listener.onAnnouncements(announcements);
    }

    @Override
    public void onResult(ProbeResult result) {
      long remainingMillis = deadlineMillis - ControlThread.nowMillis();
      if (result == ProbeResult.UNKNOWN && dial.isDirect() && remainingMillis > 0) {
        probeThroughPeer(target, remainingMillis, listener);
      } else {
        listener.onResult(result);
      }
    }
  }

  private void probeThroughPeer(
      TargetDescription target, long timeoutMillis, ProbeListener listener) {
    ProbeHandler handler =
        new ProbeHandler(
            control,
            target.id(),
            dialect,
            new ProbeListener() {
              @Override
              public void onAnnouncements(Announcements announcements) {
                listener.onAnnouncements(announcements);
              }

              @Override
              public void onResult(ProbeResult result) {
                if (result.isResponse()) {
                  reachability.recordBrokenPath(target.id());
                }
                listener.onResult(result);
              }
            });
    TargetDialer.Dial dial =
        dialer.dialThroughPeer(
            new RelayClient.RelayRequest(target, PROBE_ID, timeoutMillis),
            new DialListener(control, handler, () -> probeRequest(target)));
    failAfter(handler, timeoutMillis, dial::close);
  }

  private void failAfter(TargetResponseHandler handler, long timeoutMillis, Runnable close) {
    control
        .loop()
        .schedule(
            () -> {
              handler.fail(TargetFailure.TIMEOUT);
              close.run();
            },
            timeoutMillis,
            TimeUnit.MILLISECONDS);
  }

  private FullHttpRequest probeRequest(TargetDescription target) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, dialect.probePath());
    request.headers().set(HttpHeaderNames.HOST, target.address().toString());
    request.headers().set(names.expectedTarget(), target.id().value());
    return request;
  }

  @Override
  public OptionalLong pathLostAt(TargetId target) {
    return reachability.pathLostAt(target);
  }

  /** Probes a target over a direct connection, whether its path is lost or not. */
  private void probeDirectly(TargetDescription target, Consumer<Boolean> callback) {
    ProbeHandler handler =
        new ProbeHandler(
            control, target.id(), dialect, result -> callback.accept(result.isResponse()));
    Channel channel =
        dialer.dialDirectly(target, new DialListener(control, handler, () -> probeRequest(target)));
    failAfter(handler, DIRECT_PROBE_TIMEOUT_MILLIS, channel::close);
  }

  @Override
  public void listPrompts(
      TargetDescription target,
      long timeoutMillis,
      Consumer<Announcements> announcementListener,
      Consumer<Optional<Set<String>>> result) {
    DocumentClient client =
        new DocumentClient(
            control.loop(), translation.apply(target.address()), MAX_PROMPT_LIST_BYTES);
    client.get(
        dialect.promptsPath(),
        timeoutMillis,
        document -> {
          Optional<Set<String>> parts =
              document
                  .filter(found -> found.status() == HttpResponseStatus.OK.code())
                  .flatMap(found -> dialect.readPrompts(found.body()));
          control.run(
              () -> {
                document.ifPresent(
                    found ->
                        announcementListener.accept(AnnouncementHeaders.read(found.head(), names)));
                result.accept(parts);
              });
          client.close();
        });
  }

  /** Sends a request over a connection once it is established. */
  private record DialListener(
      ControlThread control, TargetResponseHandler handler, Supplier<FullHttpRequest> request)
      implements TargetDialer.Listener {
    @Override
    public void onConnected(Channel channel) {
      channel
          .pipeline()
          .addLast(new ResponseHeadLimiter(handler, ControlThread::nowMillis))
          .addLast(ResponseFraming.codec(handler.requestMethod()))
          .addLast(handler);
      // The caller may have disconnected before the connection was established.
      control.runAfterReceivedEvents(() -> send(channel));
    }

    private void send(Channel channel) {
      if (handler.prepareSend()) {
        channel.writeAndFlush(request.get());
      } else {
        channel.close();
      }
    }

    @Override
    public void onFailed(boolean targetRefused) {
      handler.connectFailed(targetRefused);
    }
  }

  private FullHttpRequest outgoingRequest(
      IncomingRequest request, Dispatch dispatch, long elapsedMillis) {
    FullHttpRequest outgoingRequest =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.wrappedBuffer(request.body()));
    HttpHeaders headers = outgoingRequest.headers();
    HopByHopHeaders.copy(request.headers(), headers, names.reservedNames());
    if (hasBody(request)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    headers.set(names.remainingMillis(), Math.max(1, dispatch.remainingMillis() - elapsedMillis));
    headers.set(names.expectedTarget(), dispatch.target().id().value());
    dispatch.account().ifPresent(account -> headers.set(names.account(), account.value()));
    dispatch
        .lastEventId()
        .ifPresent(id -> headers.set(HeaderNames.LAST_EVENT_ID, Long.toString(id)));
    dispatch.copyTo().ifPresent(address -> headers.set(names.copyTo(), address.toString()));
    dispatch
        .continueFrom()
        .ifPresent(address -> headers.set(names.continueFrom(), address + "/" + request.id()));
    dispatch.urgency().ifPresent(urgency -> headers.set(names.urgency(), urgency));
    return outgoingRequest;
  }

  private static boolean hasBody(IncomingRequest request) {
    return request.body().length > 0
        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
