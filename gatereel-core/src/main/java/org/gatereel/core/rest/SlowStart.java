package org.gatereel.core.rest;

/**
 * How many requests a target may be sent again after its rest: one, and twice as many for each step
 * of time that passes without another refusal.
 *
 * <p>A target that still wants rest refuses the first at once, so that what goes out before the
 * refusal is known is bounded by how long the way there and back takes.
 */
final class SlowStart {
  /** Longer than the way to a target and back, between data centres too. */
  private static final long STEP_MILLIS = 100;

  /** After so many steps more may be sent than a host has waiting. */
  private static final int STEPS = 6;

  private long firstSentAt;
  private int sent;

  /** Notes that a request is sent. */
  void recordSent(long now) {
    if (sent == 0) {
      firstSentAt = now;
    }
    sent++;
  }

  boolean admits(long now) {
    return sent < window(now);
  }

  private int window(long now) {
    return 1 << (sent == 0 ? 0 : steps(now));
  }

  private int steps(long now) {
    return (int) Math.min(STEPS, (now - firstSentAt) / STEP_MILLIS);
  }

  /** Returns when one more is admitted, if none is now. */
  long nextAdmissionAt() {
    return firstSentAt + STEP_MILLIS * (Integer.SIZE - Integer.numberOfLeadingZeros(sent));
  }

  /** Returns whether the target takes as many as any other again. */
  boolean isComplete(long now) {
    return sent > 0 && steps(now) == STEPS;
  }
}
