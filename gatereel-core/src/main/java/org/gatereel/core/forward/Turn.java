package org.gatereel.core.forward;

import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.overload.Arrival;
import org.gatereel.core.overload.OverloadControl;
import org.gatereel.core.overload.Verdict;

/** One request's way through the {@link OverloadControl}, before anything of it is sent. */
final class Turn {
  private final Forwarder forwarder;
  private final Exchange exchange;
  private final ExchangeLog log;
  private final Arrival arrival;
  private TimerQueue.Timer timer;
  private boolean waiting;

  Turn(Forwarder forwarder, Exchange exchange, ExchangeLog log, Arrival arrival) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.log = log;
    this.arrival = arrival;
  }

  /**
   * Asks for a turn.
   *
   * @param resumed whether the caller has part of the answer; such a request goes before all others
   */
  void begin(boolean resumed) {
    Verdict verdict = forwarder.overload().arrive(arrival);
    if (verdict instanceof Verdict.Wait wait) {
      waiting = true;
      log.note(EventCode.REQUEST_QUEUED, wait.inputs());
    }
    follow(resumed ? new Verdict.Send() : verdict);
  }

  private void follow(Verdict verdict) {
    if (verdict instanceof Verdict.Wait wait) {
      timer = forwarder.context().schedule(wait.retryMillis(), this::askAgain);
      return;
    }
    end();
    if (verdict instanceof Verdict.Refuse refuse) {
      exchange.refuse(Refusal.OVERLOADED, refuse.retryAfterMillis(), refuse.inputs());
    } else {
      exchange.admitted();
    }
  }

  private void askAgain() {
    if (forwarder.isStopping()) {
      end();
      exchange.stop();
    } else {
      follow(forwarder.overload().askAgain(arrival));
    }
  }

  /** Waits no longer; harmless when repeated. */
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
