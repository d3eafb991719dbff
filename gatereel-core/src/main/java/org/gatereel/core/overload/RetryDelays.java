package org.gatereel.core.overload;

import java.util.random.RandomGenerator;

/**
 * When refused callers are to come back.
 *
 * <p>The load that it answers: what was refused together comes back together, and meets the same
 * excess again. So the times are spread over as many seconds as the excess has parts, which leaves
 * in each about as many as can be served.
 */
final class RetryDelays {
  /** Sooner than this nothing has changed: what hosts know of each other's load is as old. */
  private static final long SOONEST_MILLIS = 500;

  /** Later than this the load is likely to be another one. */
  private static final long LATEST_MILLIS = 8_000;

  /** The time for which callers heed what they are told, as a part of what they have left. */
  private static final int HEEDED_PART = 3;

  private final RandomGenerator random;

  RetryDelays(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Draws a time.
   *
   * @param excess how many times as much is asked for as can be done
   * @param remainingMillis how long the caller waits at the most
   */
  long drawMillis(double excess, long remainingMillis) {
    double spread = SOONEST_MILLIS * (1 + 2 * Math.max(1, excess) * random.nextDouble());
    long latest = Math.min(LATEST_MILLIS, remainingMillis / HEEDED_PART);
    return Math.max(1, Math.min(latest, Math.round(spread)));
  }
}
