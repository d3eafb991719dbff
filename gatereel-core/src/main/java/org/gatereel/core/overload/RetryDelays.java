package org.gatereel.core.overload;

import java.util.random.RandomGenerator;

/**
 * Draws {@code Retry-After} times for rejected requests.
 *
 * <p>The times are spread at random, over a longer period the larger the overload is, so that
 * callers rejected together do not all return together. The period has as many seconds as demand is
 * a multiple of capacity, so that about as many return in each second as can be served.
 */
final class RetryDelays {
  /** The age of load reports; the decision is unlikely to change sooner. */
  private static final long MIN_DELAY_MILLIS = 500;

  /** Later than this the load is likely to have changed. */
  private static final long MAX_DELAY_MILLIS = 8_000;

  /**
   * The delay is at most the caller's remaining time divided by this. Callers honour a longer one
   * only up to that part.
   */
  private static final int REMAINING_TIME_DIVISOR = 3;

  private final RandomGenerator random;

  RetryDelays(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Draws a delay in milliseconds.
   *
   * @param overloadFactor demand divided by capacity
   * @param remainingMillis the time until the caller's deadline
   */
  long drawMillis(double overloadFactor, long remainingMillis) {
    double spread = MIN_DELAY_MILLIS * (1 + 2 * Math.max(1, overloadFactor) * random.nextDouble());
    long latest = Math.min(MAX_DELAY_MILLIS, remainingMillis / REMAINING_TIME_DIVISOR);
    return Math.max(1, Math.min(latest, Math.round(spread)));
  }
}
