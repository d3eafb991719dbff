package org.gatereel.core.forward;

import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.poison.RequestFeatures;

/**
 * Reports to {@link PoisonControl} whether targets crash under one request.
 *
 * <p>An execution that fails just after its start, or before a response head, may have crashed its
 * target; one that lasted has not. {@link PoisonControl} takes into account which other requests
 * were at the same target.
 */
final class PoisonDetector {
  /**
   * A failure within this time after the response head may be a crash caused by the request. Such
   * crashes come up to 120 ms after the head, and failures for other reasons after 430 ms or more.
   */
  static final long MAX_CRASH_DELAY_MILLIS = 400;

  /** A request that executes for this long after the response head is not a poison request. */
  static final long MIN_HARMLESS_MILLIS = 1_000;

  /**
   * A second failure just after the start is rarely a coincidence. A stream that has delivered
   * events is not delayed.
   */
  private static final int FAILURES_BEFORE_WAIT = 2;

  private final Forwarder forwarder;
  private final PoisonControl poison;
  private final RequestFeatures request;
  private boolean harmless;
  private int suspiciousFailures;

  PoisonDetector(Forwarder forwarder, RequestFeatures request) {
    this.forwarder = forwarder;
    this.poison = forwarder.poison();
    this.request = request;
  }

  /** Returns the fingerprint of the whole request. */
  Fingerprint fingerprint() {
    return request.content();
  }

  /** Returns whether the request has a feature. */
  boolean has(Fingerprint feature) {
    return feature.isPart() ? request.parts().contains(feature) : feature.equals(fingerprint());
  }

  boolean isQuarantined() {
    return poison.findQuarantined(request).isPresent();
  }

  /** Returns the reason for the quarantine as {@code key=value} pairs for the log. */
  String reason() {
    return poison
        .findQuarantined(request)
        .map(feature -> "request=" + feature + " ends=" + poison.endCount(feature))
        .orElse("");
  }

  /** Records that an attempt has received another event. */
  void recordProgress(Attempt attempt) {
    if (!harmless && executionMillis(attempt, now()) >= MIN_HARMLESS_MILLIS) {
      recordSuccess();
    }
  }

  /** Records that the request, with all its parts, is harmless to its targets. */
  void recordSuccess() {
    harmless = true;
    poison.recordSuccess(request);
    poison.recordHarmlessParts(request);
  }

  /**
   * Records an error response: the request is harmless, but its parts may crash a target that
   * begins to answer on them.
   */
  void recordErrorResponse() {
    harmless = true;
    poison.recordSuccess(request);
  }

  /**
   * Records a failed attempt.
   *
   * @param mayHaveExecuted whether the target may have executed the request
   */
  void recordFailure(Attempt attempt, TargetFailure failure, boolean mayHaveExecuted) {
    if (mayHaveExecuted && mayHaveCrashedTarget(attempt, failure)) {
      suspiciousFailures += attempt.hasReceivedEvents() ? 0 : 1;
      forwarder.exitDetector().recordFailure(attempt.target(), request, attempt.startedAt());
    }
  }

  /** Records that a probe found the target's process ended after its connection closed. */
  void recordTargetGone(Attempt attempt) {
    if (!harmless && executionMillis(attempt, attempt.endedAt()) <= MAX_CRASH_DELAY_MILLIS) {
      poison.recordEnd(
          request, attempt.target().description().id(), attempt.startedAt(), attempt.endedAt());
    }
  }

  /**
   * Targets already probed at the end of the response are excluded: the probe's result was used.
   */
  private boolean mayHaveCrashedTarget(Attempt attempt, TargetFailure failure) {
    boolean isTimeout = failure == TargetFailure.TIMEOUT;
    boolean isBroken =
        isTimeout || failure == TargetFailure.RESET || failure == TargetFailure.NO_FURTHER_EVENT;
    long until = isTimeout ? attempt.lastDataAt() : now();
    boolean isJustStarted = !harmless && executionMillis(attempt, until) <= MAX_CRASH_DELAY_MILLIS;
    return isBroken && isJustStarted && !attempt.wasProbed();
  }

  /**
   * Runs a step now; but if the request may have crashed several targets, or one more crash could
   * quarantine it, only after a probe of the last target.
   */
  void beforeNextAttempt(Attempt lastAttempt, Runnable step) {
    if (suspiciousFailures >= FAILURES_BEFORE_WAIT || poison.isNearQuarantine(request)) {
      forwarder.exitDetector().afterFirstProbe(lastAttempt.target(), step);
    } else {
      step.run();
    }
  }

  private static long executionMillis(Attempt attempt, long until) {
    return attempt.headAt().isPresent() ? until - attempt.headAt().getAsLong() : 0;
  }

  private long now() {
    return forwarder.context().now();
  }
}
