package org.gatereel.core.overload;

import org.gatereel.core.internal.DecayingCount;

/** How many requests a second came lately. */
final class ArrivalRate {
  /** Short beside the seconds that a burst lasts, long beside the gaps between its requests. */
  private static final long HALF_LIFE_MILLIS = 1_000;

  /** What a count that forgets so holds of one request a second: the half-life over ln 2. */
  private static final double SECONDS_HELD = HALF_LIFE_MILLIS / 1_000.0 / Math.log(2);

  private final DecayingCount arrivals = new DecayingCount(HALF_LIFE_MILLIS);

  void count(long now) {
    arrivals.increment(now);
  }

  double perSecond(long now) {
    return arrivals.valueAt(now) / SECONDS_HELD;
  }
}
