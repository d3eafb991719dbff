package org.gatereel.forward.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.reach.ConnectOutcome;
import org.gatereel.core.reach.RelayOutcome;
import org.gatereel.core.reach.TargetReachability;
import org.gatereel.forward.ControlThread;

/**
 * Opens connections to targets, directly or through another host.
 *
 * <p>A direct connection is tried first. If it fails or is slow, other hosts are asked to relay
 * one, and the first connection that is established is used. If the direct path is known to be
 * lost, only other hosts are asked. A dial fails once the direct connection has failed and another
 * host could not connect either.
 */
public final class TargetDialer {
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /** Longer than a connection takes between regions, shorter than any caller notices. */
  private static final long RELAY_DELAY_MILLIS = 60;

  private static final int RELAY_TIMEOUT_MILLIS = 250;
  private static final int MAX_PEERS = 4;

  private final ControlThread control;
  private final TargetReachability reachability;
  private final UnaryOperator<Address> translation;
  private final RelayClient relays;
  private final Bootstrap bootstrap;

  /** Receives the result of one dial, on the event loop. */
  public interface Listener {
    /** A connection without handlers is established; the last call. */
    void onConnected(Channel channel);

    /**
     * No connection was established; the last call.
     *
     * @param targetRefused whether the target's address refused connections, and not just those of
     *     this host
     */
    void onFailed(boolean targetRefused);
  }

  /**
   * Creates a dialer.
   *
   * @param translation returns the address at which this host reaches a target, from the one that
   *     the platform lists
   */
  public TargetDialer(
      ControlThread control, TargetReachability reachability, UnaryOperator<Address> translation) {
    this.control = control;
    this.reachability = reachability;
    this.translation = translation;
    this.relays = new RelayClient(control.loop());
    this.bootstrap =
        new Bootstrap()
            .group(control.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {}
                });
  }

  /** Opens a connection for a request; the listener is not called before this returns. */
  public Dial dial(RelayClient.RelayRequest request, Listener listener) {
    Dial dial = new Dial(request, listener);
    control.loop().execute(dial::start);
    return dial;
  }

  /** Opens a connection through another host, whatever is known of the direct path. */
  public Dial dialThroughPeer(RelayClient.RelayRequest request, Listener listener) {
    Dial dial = new Dial(request, listener);
    control.loop().execute(dial::askPeer);
    return dial;
  }

  /** Opens a direct connection, whatever is known of the path; the outcome is not recorded. */
  public Channel dialDirectly(TargetDescription target, Listener listener) {
    ChannelFuture connecting = connect(target);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            listener.onConnected(connecting.channel());
          } else {
            listener.onFailed(ConnectOutcomes.of(done.cause()) == ConnectOutcome.REFUSED);
          }
        });
    return connecting.channel();
  }

  /**
   * Finds out whether a failure to connect to a target shows that the target has failed. If this
   * host's network may be the cause, another target is connected to for comparison.
   *
   * @param callback receives the result, possibly at once
   */
  void verifyFailure(TargetId target, Consumer<Boolean> callback) {
    Optional<TargetDescription> control =
        reachability.isFailureOfTarget(target)
            ? Optional.empty()
            : reachability.chooseControlTarget();
    if (control.isEmpty()) {
      callback.accept(reachability.isFailureOfTarget(target));
      return;
    }
    long startedAtMillis = ControlThread.nowMillis();
    ChannelFuture connecting = connect(control.get());
    connecting.addListener(
        done -> {
          connecting.channel().close();
          recordDirect(control.get().id(), ConnectOutcomes.of(done.cause()), startedAtMillis);
          callback.accept(reachability.isFailureOfTarget(target));
        });
  }

  private void recordDirect(TargetId target, ConnectOutcome outcome, long startedAtMillis) {
    long millis = ControlThread.nowMillis() - startedAtMillis;
    control.run(() -> reachability.recordDirect(target, outcome, millis));
  }

  private ChannelFuture connect(TargetDescription target) {
    Address address = translation.apply(target.address());
    return bootstrap.connect(new InetSocketAddress(address.ip(), address.port()));
  }

  /** One connection being opened. All methods must be called on the event loop. */
  public final class Dial {
    private final RelayClient.RelayRequest request;
    private final Listener listener;
    private final Set<Address> askedPeers = new HashSet<>();
    private final Set<Channel> pending = new HashSet<>();
    private Optional<ConnectOutcome> directFailure = Optional.empty();
    private Channel established;
    private long startedAtMillis;
    private boolean directPending;
    private boolean unreachableForPeer;
    private boolean finished;
    private boolean closed;
    private boolean direct;

    private Dial(RelayClient.RelayRequest request, Listener listener) {
      this.request = request;
      this.listener = listener;
    }

    private TargetDescription target() {
      return request.target();
    }

    private void start() {
      if (finished) {
        return;
      }
      startedAtMillis = ControlThread.nowMillis();
      if (reachability.isPathLost(target().id())) {
        askPeer();
      } else {
        connectDirectly();
        scheduleNextPeer();
      }
    }

    private void scheduleNextPeer() {
      control.loop().schedule(this::askPeer, RELAY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void connectDirectly() {
      ChannelFuture connecting = connect(target());
      pending.add(connecting.channel());
      directPending = true;
      connecting.addListener(
          done -> {
            directPending = false;
            onDirectResult(connecting.channel(), done.cause());
          });
    }

    private void onDirectResult(Channel channel, Throwable cause) {
      pending.remove(channel);
      if (finished) {
        channel.close();
        return;
      }
      ConnectOutcome outcome = ConnectOutcomes.of(cause);
      recordDirect(target().id(), outcome, startedAtMillis);
      if (outcome == ConnectOutcome.CONNECTED) {
        direct = true;
        establish(channel);
        return;
      }
      directFailure = Optional.of(outcome);
      askPeer();
    }

    private void askPeer() {
      if (finished) {
        return;
      }
      Optional<Address> peer =
          askedPeers.size() >= MAX_PEERS
              ? Optional.empty()
              : reachability.choosePeer(target().id(), askedPeers);
      if (peer.isEmpty()) {
        failIfHopeless();
        return;
      }
      askedPeers.add(peer.get());
      long askedAtMillis = ControlThread.nowMillis();
      Channel[] asked = new Channel[1];
      asked[0] =
          relays.open(
              peer.get(),
              request,
              RELAY_TIMEOUT_MILLIS,
              (outcome, channel) -> onPeerResult(peer.get(), outcome, channel, askedAtMillis));
      pending.add(asked[0]);
      scheduleNextPeer();
    }

    private void onPeerResult(
        Address peer, RelayOutcome outcome, Channel channel, long askedAtMillis) {
      pending.remove(channel);
      if (finished) {
        channel.close();
        return;
      }
      if (outcome == RelayOutcome.CONNECTED && directPending) {
        directFailure = Optional.of(ConnectOutcome.TIMED_OUT);
        recordDirect(target().id(), ConnectOutcome.TIMED_OUT, startedAtMillis);
      }
      long millis = ControlThread.nowMillis() - askedAtMillis;
      control.run(() -> reachability.recordRelayed(target().id(), peer, outcome, millis));
      if (outcome == RelayOutcome.CONNECTED) {
        channel
            .closeFuture()
            .addListener(closed -> control.run(() -> reachability.recordRelayClosed(peer)));
        establish(channel);
        return;
      }
      unreachableForPeer |= outcome == RelayOutcome.TARGET_UNREACHABLE;
      askPeer();
    }

    private void establish(Channel channel) {
      finished = true;
      established = channel;
      closePending();
      listener.onConnected(channel);
    }

    private void failIfHopeless() {
      boolean mayRespond = directFailure.isEmpty() || !unreachableForPeer;
      if (mayRespond && !pending.isEmpty()) {
        return;
      }
      finished = true;
      closePending();
      if (directFailure.equals(Optional.of(ConnectOutcome.REFUSED))) {
        verifyFailure(target().id(), this::reportFailure);
      } else {
        reportFailure(false);
      }
    }

    private void reportFailure(boolean targetRefused) {
      if (!closed) {
        listener.onFailed(targetRefused);
      }
    }

    private void closePending() {
      Set.copyOf(pending).forEach(Channel::close);
      pending.clear();
    }

    /** Returns whether a direct connection was established. */
    public boolean isDirect() {
      return direct;
    }

    /** Closes the connection, or stops opening it; the listener is not called any more. */
    public void close() {
      finished = true;
      closed = true;
      closePending();
      if (established != null) {
        established.close();
      }
    }
  }
}
