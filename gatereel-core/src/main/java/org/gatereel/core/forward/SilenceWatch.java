package org.gatereel.core.forward;

import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.target.TargetState;

/**
 * Notices that the target of a stream has stopped without a word.
 *
 * <p>Silence alone proves little: a long prompt of somebody else holds an engine's tokens up. So a
 * silent target is probed, and only one that does not answer is given up.
 */
final class SilenceWatch {
  private final Forwarder forwarder;
  private final Exchange exchange;
  private final Route route;
  private TimerQueue.Timer timer;

  SilenceWatch(Forwarder forwarder, Exchange exchange, Route route) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.route = route;
  }

  /** Watches an attempt that has just been started. */
  void watch(Attempt attempt) {
    stop();
    if (route.kind() == RouteKind.STREAM && exchange.mayMove()) {
      schedule(attempt, patience(attempt));
    }
  }

  void stop() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  private long patience(Attempt attempt) {
    ForwardPolicy policy = forwarder.policy();
    return attempt.hasEvents() ? policy.probeAfterMillis(route) : policy.firstEventProbeMillis();
  }

  private void schedule(Attempt attempt, long millis) {
    timer = forwarder.context().schedule(millis, () -> check(attempt));
  }

  private void check(Attempt attempt) {
    if (attempt.isClosed()) {
      return;
    }
    long silent = forwarder.context().now() - attempt.lastSignAt();
    long patience = patience(attempt);
    if (silent < patience) {
      schedule(attempt, patience - silent);
    } else if (isHopeless(attempt, silent)) {
      exchange.targetLost(TargetFailure.TIMEOUT);
    } else {
      forwarder.probe(attempt.target());
      schedule(attempt, patience);
    }
  }

  private boolean isHopeless(Attempt attempt, long silent) {
    return attempt.hasEvents() && silent >= forwarder.policy().hopelessAfterMillis(route);
  }

  /** Returns whether an attempt's silence is long enough to believe a probe that failed. */
  static boolean isSilent(Attempt attempt, TargetState target, long since) {
    return attempt.target() == target && attempt.lastSignAt() <= since;
  }
}
