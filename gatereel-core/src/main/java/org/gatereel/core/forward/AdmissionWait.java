package org.gatereel.core.forward;

import java.util.Set;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.overload.ArrivingRequest;
import org.gatereel.core.overload.OverloadControl;
import org.gatereel.core.overload.OverloadDecision;
import org.gatereel.core.scheduling.Urgency;

/** Submits one request to {@link OverloadControl} and waits until it is admitted or rejected. */
final class AdmissionWait {
  private final Forwarder forwarder;
  private final Exchange exchange;
  private final ExchangeLog log;
  private final ArrivingRequest arrival;
  private TimerQueue.Timer timer;
  private boolean waiting;

  AdmissionWait(Forwarder forwarder, Exchange exchange, ExchangeLog log, ArrivingRequest arrival) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.log = log;
    this.arrival = arrival;
  }

  /**
   * Submits the request.
   *
   * @param resumed whether the caller already has part of the stream; such a request is sent
   *     without waiting
   */
  void begin(boolean resumed) {
    OverloadDecision verdict =
        forwarder.overload().decide(arrival, () -> exchange.steps().run(this::onTurn));
    if (verdict instanceof OverloadDecision.Wait wait) {
      waiting = true;
      log.log(EventCode.REQUEST_QUEUED, wait.inputs());
    }
    apply(resumed ? new OverloadDecision.Send() : verdict);
  }

  /** Records how long the stream took from being sent to an engine until its end. */
  void recordStreamTime(long millis) {
    forwarder.overload().recordStreamTime(arrival, millis);
  }

  /** Returns the urgency of the request among those of its service. */
  Urgency urgency() {
    return arrival.urgency();
  }

  /** Returns the targets that other requests need more than this one. */
  Set<TargetId> reservedTargets() {
    return exchange.hasPartialResponse() ? Set.of() : forwarder.overload().reservedTargets(arrival);
  }

  private void apply(OverloadDecision verdict) {
    if (verdict instanceof OverloadDecision.Wait wait) {
      timer = exchange.steps().schedule(wait.retryMillis(), this::recheck);
      return;
    }
    end();
    if (verdict instanceof OverloadDecision.Reject rejection) {
      exchange.reject(Rejection.OVERLOADED, rejection.retryAfterMillis(), rejection.inputs());
    } else {
      exchange.onAdmitted();
    }
  }

  private void onTurn() {
    if (waiting) {
      timer.cancel();
      recheck();
    }
  }

  private void recheck() {
    if (forwarder.isStopping()) {
      end();
      exchange.endForShutdown();
    } else {
      apply(forwarder.overload().decideWaiting(arrival));
    }
  }

  /** Ends the wait; safe to call more than once. */
  void end() {
    if (waiting) {
      waiting = false;
      forwarder.overload().endWaiting(arrival);
    }
    if (timer != null) {
      timer.cancel();
    }
  }
}
