package org.gatereel.core.forward;

import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.overload.Arrival;
import org.gatereel.core.overload.OverloadControl;
import org.gatereel.core.overload.Verdict;

/** Submits one request to {@link OverloadControl} and waits until it is admitted or rejected. */
final class AdmissionWait {
  private final Forwarder forwarder;
  private final Exchange exchange;
  private final ExchangeLog log;
  private final Arrival arrival;
  private TimerQueue.Timer timer;
  private boolean waiting;

  AdmissionWait(Forwarder forwarder, Exchange exchange, ExchangeLog log, Arrival arrival) {
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
    Verdict verdict = forwarder.overload().arrive(arrival);
    if (verdict instanceof Verdict.Wait wait) {
      waiting = true;
      log.log(EventCode.REQUEST_QUEUED, wait.inputs());
    }
    apply(resumed ? new Verdict.Send() : verdict);
  }

  private void apply(Verdict verdict) {
    if (verdict instanceof Verdict.Wait wait) {
      timer = forwarder.context().after(wait.retryMillis(), this::recheck);
      return;
    }
    end();
    if (verdict instanceof Verdict.Refuse refuse) {
      exchange.reject(Rejection.OVERLOADED, refuse.retryAfterMillis(), refuse.inputs());
    } else {
      exchange.onAdmitted();
    }
  }

  private void recheck() {
    if (forwarder.isStopping()) {
      end();
      exchange.endForShutdown();
    } else {
      apply(forwarder.overload().askAgain(arrival));
    }
  }

  /** Ends the wait; safe to call more than once. */
  void end() {
    if (waiting) {
      waiting = false;
      forwarder.overload().waitedEnough(arrival);
    }
    if (timer != null) {
      timer.cancel();
    }
  }
}
