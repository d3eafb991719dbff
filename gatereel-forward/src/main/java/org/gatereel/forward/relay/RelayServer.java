package org.gatereel.forward.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.reach.ConnectOutcome;
import org.gatereel.core.reach.RelayRefusal;
import org.gatereel.core.reach.TargetReachability;
import org.gatereel.forward.CloseMode;
import org.gatereel.forward.ControlThread;

/** Relays connections of other hosts to targets that this host can connect to directly. */
public final class RelayServer implements BiConsumer<FullHttpRequest, Channel>, AutoCloseable {
  /** Each relayed connection takes two descriptors; callers' requests need some as well. */
  private static final int MAX_CONNECTIONS = 400;

  /** Shorter than the time for which the other host waits for the response. */
  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  /** A connection without a valid limit is closed after this time. */
  private static final long DEFAULT_REMAINING_MILLIS = 30_000;

  /** Time after the caller's deadline for the other host to close the connection itself. */
  private static final long EXTRA_MILLIS = 1_000;

  private final ControlThread control;
  private final CoreContext context;
  private final TargetReachability reachability;
  private final TargetDialer dialer;
  private final UnaryOperator<Address> translation;
  private final Bootstrap bootstrap;
  private final Set<Tunnel> tunnels = new LinkedHashSet<>();
  private boolean stopping;

  /**
   * Creates a server without connections.
   *
   * @param translation returns the address at which this host reaches a target, from the one that
   *     the platform lists
   */
  public RelayServer(
      ControlThread control,
      CoreContext context,
      TargetReachability reachability,
      TargetDialer dialer,
      UnaryOperator<Address> translation) {
    this.control = control;
    this.context = context;
    this.reachability = reachability;
    this.dialer = dialer;
    this.translation = translation;
    this.bootstrap =
        new Bootstrap()
            .group(control.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {}
                });
  }

  /** Handles a {@code CONNECT} request of another host. */
  @Override
  public void accept(FullHttpRequest request, Channel origin) {
    HttpHeaders headers = request.headers();
    TargetId target =
        new TargetId(
            headers.get(RelayHeaders.TARGET, ""),
            number(headers, RelayHeaders.TARGET_START, TargetId.UNKNOWN_START));
    String requestId = headers.get(RelayHeaders.REQUEST, "-");
    Optional<RelayRefusal> refusal = refusal();
    Optional<TargetDescription> known = reachability.findRelayTarget(target);
    if (refusal.isPresent() || known.isEmpty()) {
      reject(origin, requestId, target, refusal.orElse(RelayRefusal.NO_DIRECT_PATH), false);
      return;
    }
    long remainingMillis =
        number(headers, RelayHeaders.REMAINING_MILLIS, DEFAULT_REMAINING_MILLIS) + EXTRA_MILLIS;
    connectTarget(new Tunnel.Subject(requestId, target, remainingMillis), known.get(), origin);
  }

  private Optional<RelayRefusal> refusal() {
    if (stopping) {
      return Optional.of(RelayRefusal.STOPPING);
    }
    return tunnels.size() >= MAX_CONNECTIONS ? Optional.of(RelayRefusal.BUSY) : Optional.empty();
  }

  private void connectTarget(Tunnel.Subject subject, TargetDescription target, Channel origin) {
    Address address = translation.apply(target.address());
    long startedAtMillis = ControlThread.nowMillis();
    ChannelFuture connecting =
        bootstrap.connect(new InetSocketAddress(address.ip(), address.port()));
    origin.closeFuture().addListener(closed -> connecting.channel().close());
    connecting.addListener(
        done -> {
          if (!origin.isActive()) {
            connecting.channel().close();
            return;
          }
          long millis = ControlThread.nowMillis() - startedAtMillis;
          ConnectOutcome outcome = ConnectOutcomes.of(done.cause());
          control.run(() -> reachability.recordDirect(target.id(), outcome, millis));
          if (done.isSuccess()) {
            join(subject, origin, connecting.channel());
          } else {
            dialer.verifyFailure(
                target.id(),
                hasFailed ->
                    reject(
                        origin,
                        subject.requestId(),
                        target.id(),
                        RelayRefusal.CONNECT_FAILED,
                        hasFailed));
          }
        });
  }

  private void join(Tunnel.Subject subject, Channel origin, Channel target) {
    // Without this, the end of this process would look like the orderly end of the target.
    CloseMode.resetOnClose(origin);
    origin.config().setAutoRead(false);
    Tunnel tunnel = new Tunnel(subject, origin, target, this::onClosed);
    tunnels.add(tunnel);
    log(EventCode.RELAY_OPENED, subject.requestId(), "target=" + subject.target());
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    origin
        .writeAndFlush(response)
        .addListener(
            written -> {
              removeHandlers(origin);
              tunnel.start();
            });
  }

  private static void removeHandlers(Channel channel) {
    List<ChannelHandler> handlers = channel.pipeline().toMap().values().stream().toList();
    handlers.forEach(channel.pipeline()::remove);
  }

  private void onClosed(Tunnel tunnel) {
    if (tunnels.remove(tunnel)) {
      log(
          EventCode.RELAY_CLOSED,
          tunnel.subject().requestId(),
          "target=" + tunnel.subject().target() + " inOrder=" + tunnel.hasEndedInOrder());
    }
  }

  private void reject(
      Channel origin,
      String requestId,
      TargetId target,
      RelayRefusal refusal,
      boolean isTargetFailed) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            isTargetFailed
                ? HttpResponseStatus.BAD_GATEWAY
                : HttpResponseStatus.SERVICE_UNAVAILABLE);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    origin.writeAndFlush(response);
    log(
        EventCode.RELAY_REJECTED,
        requestId,
        "target="
            + target
            + " reason="
            + refusal
            + " targetFailed="
            + isTargetFailed
            + " open="
            + tunnels.size());
  }

  private void log(EventCode code, String subject, String detail) {
    control.run(() -> context.logEvent(code, subject, detail));
  }

  private static long number(HttpHeaders headers, String name, long fallback) {
    String value = headers.get(name);
    if (value == null) {
      return fallback;
    }
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      return fallback;
    }
  }

  /** Rejects new connections from now on; open ones stay open. */
  public void drain() {
    stopping = true;
  }

  /** Returns the number of connections that are being relayed. */
  public int openCount() {
    return tunnels.size();
  }

  @Override
  public void close() {
    control.loop().execute(() -> Set.copyOf(tunnels).forEach(Tunnel::close));
  }
}
