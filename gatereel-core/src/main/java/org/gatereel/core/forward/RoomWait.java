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
 * The wait ends when an engine could no longer answer within the objective, or when the caller of a
 * stream that has begun no longer waits for it to go on.
 */
final class RoomWait {
  /** Hosts that wait for the same targets search again at different times. */
  private static final long MIN_RETRY_MILLIS = 50;

  private static final long MAX_RETRY_MILLIS = 150;

  /**
   * Within this time a host observes all ends of targets that have one cause. A stream that must
   * move is not placed before, by figures that count the other ended targets as free.
   */
  private static final long SIMULTANEOUS_ENDS_MILLIS = 10;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final TargetSearch search;
  private final ExchangeLog log;
  private final RetryController retries;
  private final long firstEventBy;
  private long waitUntil;
  private TimerQueue.Timer timer;
  private boolean waiting;
  private boolean hasWaitedForReports;
  private long drawnAt;

  RoomWait(
      Forwarder forwarder,
      Exchange exchange,
      TargetSearch search,
      RetryController retries,
      Route route,
      ExchangeLog log) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.search = search;
    this.log = log;
    long promptMillis = Math.round(room().promptMillis(search.service()));
    this.retries = retries;
    this.firstEventBy = forwarder.context().now() + route.objectiveMillis() - promptMillis;
  }

  /** Sets how long the next attempt may wait for room. */
  void beginAttempt() {
    hasWaitedForReports = false;
    drawnAt = NEVER;
    waitUntil = exchange.hasPartialResponse() ? retries.waitUntil() : firstEventBy;
  }

  private CountedRoom room() {
    return forwarder.room();
  }

  /** Returns whether the request may be sent to a target without room. */
  private boolean isOver() {
    return !room().isLimited(search.service()) || forwarder.context().now() >= waitUntil;
  }

  /** Returns whether the request must wait in place of being sent to a chosen target. */
  boolean mustWait(TargetState target) {
    if (isOver()) {
      return false;
    }
    if (exchange.hasPartialResponse() && !hasWaitedForReports) {
      hasWaitedForReports = true;
      return true;
    }
    long millisSinceDraw = forwarder.context().now() - drawnAt;
    drawnAt = forwarder.context().now();
    return !search.mayTakeRoom(target, millisSinceDraw);
  }

  /** Waits until a target has room or the wait is over, then runs {@code search}. */
  void begin(Runnable searchAgain) {
    if (!waiting) {
      waiting = true;
      room().adjustWaiting(search.service(), 1);
      log.log(EventCode.REQUEST_QUEUED, room().inputs(search.service(), search.size()));
    }
    timer = exchange.steps().schedule(delayMillis(), () -> recheck(searchAgain));
  }

  private long delayMillis() {
    if (drawnAt == NEVER) {
      return SIMULTANEOUS_ENDS_MILLIS;
    }
    long spread = MAX_RETRY_MILLIS - MIN_RETRY_MILLIS;
    return MIN_RETRY_MILLIS + forwarder.context().random().nextLong(spread);
  }

  private void recheck(Runnable searchAgain) {
    if (forwarder.isStopping()) {
      end();
      exchange.onSearchStopped();
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
