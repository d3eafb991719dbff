package org.gatereel.core.overload;

import org.gatereel.core.internal.DecayingCount;

/** The recent arrival rate of requests, as an exponentially weighted average. */
final class ArrivalRate {
  /**
   * Short compared with a burst of some seconds, long compared with the gaps between its requests.
   */
  private static final long HALF_LIFE_MILLIS = 1_000;

  /** The steady value of the decaying count at one request per second: half-life / ln 2. */
  private static final double COUNT_AT_ONE_PER_SECOND = HALF_LIFE_MILLIS / 1_000.0 / Math.log(2);

  private final DecayingCount arrivals = new DecayingCount(HALF_LIFE_MILLIS);

  void count(long now) {
    arrivals.increment(now);
  }

  double perSecond(long now) {
    return arrivals.valueAt(now) / COUNT_AT_ONE_PER_SECOND;
  }
}
