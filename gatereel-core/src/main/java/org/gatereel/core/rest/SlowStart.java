package org.gatereel.core.rest;

/**
 * Limits the requests to a target after its backoff: first one, then twice as many for each step of
 * time without another rejection.
 *
 * <p>A target that is still overloaded rejects the first request, which starts a new backoff. What
 * is sent before that rejection is known is limited by the duration of the round trip.
 */
final class SlowStart {
  /** Longer than a round trip to a target, including one in another data centre. */
  private static final long STEP_MILLIS = 100;

  /**
   * After this many steps the target is no longer limited: more requests are admitted than a host
   * has waiting.
   */
  private static final int MAX_STEPS = 6;

  private long firstSentAt;
  private int sent;

  void recordSent(long now) {
    if (sent == 0) {
      firstSentAt = now;
    }
    sent++;
  }

  boolean admits(long now) {
    return sent < maxRequests(now);
  }

  private int maxRequests(long now) {
    return 1 << (sent == 0 ? 0 : steps(now));
  }

  private int steps(long now) {
    return (int) Math.min(MAX_STEPS, (now - firstSentAt) / STEP_MILLIS);
  }

  /** Returns when the next request is admitted, in milliseconds, if none is admitted now. */
  long nextAdmissionAt() {
    return firstSentAt + STEP_MILLIS * (Integer.SIZE - Integer.numberOfLeadingZeros(sent));
  }

  /** Returns whether the target is no longer limited. */
  boolean isComplete(long now) {
    return sent > 0 && steps(now) == MAX_STEPS;
  }
}
