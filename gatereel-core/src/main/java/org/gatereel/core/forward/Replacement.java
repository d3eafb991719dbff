package org.gatereel.core.forward;

import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;

/**
 * The search for another target while an attempt is open at a silent one.
 *
 * <p>Silence does not show that a target has failed. So the attempt stays open until the request is
 * sent elsewhere, and remains open if that is not possible. The search is called off as soon as the
 * target sends data; callbacks of an earlier round are then ignored.
 */
final class Replacement {
  private final Exchange exchange;
  private final RetryController retries;
  private final TargetSearch search;
  private final Placement placement;
  private final ExchangeLog log;
  private TargetFailure failure;
  private boolean inProgress;
  private int round;

  Replacement(
      Exchange exchange,
      RetryController retries,
      TargetSearch search,
      Placement placement,
      ExchangeLog log) {
    this.exchange = exchange;
    this.retries = retries;
    this.search = search;
    this.placement = placement;
    this.log = log;
  }

  /**
   * Starts to search for another target, unless a search is in progress or no other attempt is
   * allowed.
   *
   * @param cause the failure to record if the attempt is replaced
   */
  void begin(Attempt silent, TargetFailure cause) {
    if (inProgress || !retries.mayReplace(silent)) {
      return;
    }
    inProgress = true;
    failure = cause;
    search.copies().onAttemptBroken(silent);
    retries.acquireRetry();
  }

  /** Returns whether the search that is in progress also serves if the open attempt fails. */
  boolean isInProgress() {
    return inProgress;
  }

  /** Returns the current round, to be passed to {@link #isInRound}. */
  int round() {
    return round;
  }

  /** Returns whether a step of a round may still be taken. */
  boolean isInRound(int startedIn) {
    return !exchange.isFinished() && round == startedIn;
  }

  /** Ends the search without a new attempt. */
  void callOff() {
    if (inProgress) {
      inProgress = false;
      round++;
      placement.end();
    }
  }

  /** Ends the search because the request is being sent; closes the attempt that is replaced. */
  void onSend() {
    inProgress = false;
    exchange
        .currentTarget()
        .ifPresent(
            target -> {
              log.log(EventCode.ATTEMPT_SUSPECTED, "target=" + target.description().id());
              exchange.recordFailedAttempt(exchange.attempt(), failure);
            });
  }
}
