package org.gatereel.core.forward;

import org.gatereel.core.configuration.Route;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.room.CountedRoom;
import org.gatereel.core.target.TargetState;

/**
 * Keeps one request at this host while no target has room for it.
 *
 * <p>The request does not wait in the queue of an engine, where it would be lost with the engine.
 * The wait ends when an engine could no longer answer within the objective.
 */
final class RoomWait {
  /** Hosts that wait for the same targets search again at different times. */
  private static final long MIN_RETRY_MILLIS = 50;

  private static final long MAX_RETRY_MILLIS = 150;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final TargetSearch search;
  private final ExchangeLog log;
  private final long waitUntil;
  private TimerQueue.Timer timer;
  private boolean waiting;

  RoomWait(
      Forwarder forwarder, Exchange exchange, TargetSearch search, Route route, ExchangeLog log) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.search = search;
    this.log = log;
    long promptMillis = Math.round(room().promptMillis(search.service()));
    this.waitUntil = forwarder.context().now() + route.objectiveMillis() - promptMillis;
  }

  private CountedRoom room() {
    return forwarder.room();
  }

  /** Returns whether the request may be sent to a target without room. */
  private boolean isOver() {
    return !room().isLimited(search.service())
        || exchange.hasPartialResponse()
        || forwarder.context().now() >= waitUntil;
  }

  /** Returns whether the request must wait in place of being sent to a chosen target. */
  boolean mustWait(TargetState target) {
    return !isOver() && !search.mayTakeRoom(target);
  }

  /** Waits until a target has room or the wait is over, then runs {@code search}. */
  void begin(Runnable searchAgain) {
    if (!waiting) {
      waiting = true;
      room().adjustWaiting(search.service(), 1);
      log.log(EventCode.REQUEST_QUEUED, room().inputs(search.service(), search.size()));
    }
    long spread = MAX_RETRY_MILLIS - MIN_RETRY_MILLIS;
    long delayMillis = MIN_RETRY_MILLIS + forwarder.context().random().nextLong(spread);
    timer = forwarder.context().schedule(delayMillis, () -> recheck(searchAgain));
  }

  private void recheck(Runnable searchAgain) {
    if (forwarder.isStopping()) {
      end();
      exchange.endForShutdown();
    } else {
      searchAgain.run();
    }
  }

  /** Ends the wait; safe to call more than once. */
  void end() {
    if (waiting) {
      waiting = false;
      room().adjustWaiting(search.service(), -1);
    }
    if (timer != null) {
      timer.cancel();
    }
  }
}
