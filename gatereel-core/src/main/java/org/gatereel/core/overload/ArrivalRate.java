package org.gatereel.core.overload;

import org.gatereel.core.internal.DecayingCount;
import org.gatereel.core.load.LoadExchange;

/** The recent arrival rate of requests at this host, as an exponentially weighted average. */
final class ArrivalRate {
  /**
   * Short compared with a burst of some seconds, long compared with the gaps between its requests.
   */
  private static final long LONG_HALF_LIFE_MILLIS = 1_000;

  /** Other hosts would not know the result of a shorter period any sooner. */
  private static final long SHORT_HALF_LIFE_MILLIS = LoadExchange.MAX_REPORT_PAUSE_MILLIS;

  /** With this many arrivals in a half-life the sum has a standard deviation of 15%. */
  private static final int MIN_ARRIVALS = 16;

  private static final double MIN_FREQUENT_PER_SECOND =
      MIN_ARRIVALS * 1_000.0 / SHORT_HALF_LIFE_MILLIS;

  private final DecayingCount longCount = new DecayingCount(LONG_HALF_LIFE_MILLIS);
  private final DecayingCount shortCount = new DecayingCount(SHORT_HALF_LIFE_MILLIS);

  void count(long now) {
    longCount.increment(now);
    shortCount.increment(now);
  }

  /** Returns the requests per second. */
  double perSecond(long now) {
    return perSecond(longCount.valueAt(now), LONG_HALF_LIFE_MILLIS);
  }

  /**
   * Returns the requests per second as a part of the sum over all hosts. Where that sum is large, a
   * short average is precise enough, and follows a burst sooner.
   *
   * @param othersPerSecond the rate at all other hosts
   */
  double perSecondToReport(long now, double othersPerSecond) {
    double longAverage = perSecond(now);
    return othersPerSecond + longAverage < MIN_FREQUENT_PER_SECOND
        ? longAverage
        : perSecond(shortCount.valueAt(now), SHORT_HALF_LIFE_MILLIS);
  }

  /** Returns the rate at which a decaying count is steady. */
  private static double perSecond(double count, long halfLifeMillis) {
    return count * Math.log(2) * 1_000 / halfLifeMillis;
  }
}
