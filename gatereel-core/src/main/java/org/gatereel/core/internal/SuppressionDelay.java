package org.gatereel.core.internal;

import java.util.random.RandomGenerator;

/**
 * The delay before a host does what any of many hosts could do, and what one that has done it makes
 * needless.
 *
 * <p>The probability grows exponentially towards the maximum: of any number of hosts, few are due
 * in the time in which they learn what the first one has done.
 */
public final class SuppressionDelay {
  /** The maximum delay. */
  public static final long MAX_MILLIS = 4_000;

  /** The time in which hosts learn what a reader has done without a delay. */
  private static final long MIN_MILLIS = 1_000;

  /** The number of due hosts grows by this power of e over the maximum delay. */
  private static final double GROWTH = 10;

  private SuppressionDelay() {}

  /** Returns a random delay in milliseconds. */
  public static long next(RandomGenerator random) {
    double ratio = 1 + Math.log(1 - random.nextDouble()) / GROWTH;
    return Math.max(MIN_MILLIS, (long) (MAX_MILLIS * ratio));
  }
}
