package org.gatereel.core.forward;

import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.target.TargetState;

/**
 * Detects that the target of a stream has stopped sending events. Comments and parts of an event
 * show that it is alive, as a response to a probe does, but not that it makes progress.
 *
 * <p>A pause may also have harmless causes, such as another request's prefill. So a silent target
 * is probed, and the attempt is replaced only if the probe fails, or after a much longer silence.
 */
final class StallDetector {
  private final Forwarder forwarder;
  private final Exchange exchange;
  private final Route route;
  private TimerQueue.Timer timer;

  StallDetector(Forwarder forwarder, Exchange exchange, Route route) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.route = route;
  }

  /** Starts to watch an attempt, instead of the one watched before. */
  void watch(Attempt attempt) {
    stop();
    if (route.kind() == RouteKind.STREAM && exchange.canMove()) {
      schedule(attempt, probeDelayMillis(attempt));
    }
  }

  void stop() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  private long probeDelayMillis(Attempt attempt) {
    ForwardPolicy policy = forwarder.policy();
    return attempt.hasForwardedEvents()
        ? policy.probeDelayMillis(route)
        : policy.firstEventProbeMillis();
  }

  private void schedule(Attempt attempt, long millis) {
    timer = exchange.steps().schedule(millis, () -> check(attempt));
  }

  private void check(Attempt attempt) {
    if (attempt.isClosed()) {
      return;
    }
    long silentMillis = forwarder.context().now() - attempt.lastProgressAt();
    long delayMillis = probeDelayMillis(attempt);
    if (silentMillis < delayMillis) {
      schedule(attempt, delayMillis - silentMillis);
      return;
    }
    if (isStalled(attempt, silentMillis)) {
      exchange.onTargetSilent(TargetFailure.TIMEOUT);
    }
    if (!attempt.isClosed()) {
      forwarder.probe(attempt.target());
      schedule(attempt, delayMillis);
    }
  }

  private boolean isStalled(Attempt attempt, long silentMillis) {
    return attempt.hasForwardedEvents()
        && silentMillis >= forwarder.policy().stallTimeoutMillis(route);
  }

  /** Returns whether an attempt at the target has received no data since a time. */
  static boolean isSilentSince(Attempt attempt, TargetState target, long since) {
    return attempt.target() == target && attempt.lastDataAt() <= since;
  }
}
