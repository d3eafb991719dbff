package org.gatereel.core.generation;

import org.gatereel.core.target.TokenGapEstimator;

/**
 * Determines how long an engine may be silent before a second attempt starts beside the first.
 *
 * <p>The limit follows the engine's own recent gaps between tokens. The floor keeps a very regular
 * engine from being suspected for one slow step; the ceiling bounds the wait of a caller.
 */
public enum SuspicionPolicy {
  /** Favours a short wait over the cost of second attempts. */
  EAGER(8, 400, 1_000, 1_500),
  BALANCED(14, 700, 2_000, 3_000),
  /** Avoids second attempts: suspects only a silence far above the usual gaps. */
  THRIFTY(30, 2_000, 4_000, 4_000),
  /** Never suspects an engine; only a failed connection ends an attempt. */
  OFF(0, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4);

  private final double deviations;
  private final long floorMillis;
  private final long ceilingMillis;
  private final long firstTokenMillis;

  SuspicionPolicy(double deviations, long floorMillis, long ceilingMillis, long firstTokenMillis) {
    this.deviations = deviations;
    this.floorMillis = floorMillis;
    this.ceilingMillis = ceilingMillis;
    this.firstTokenMillis = firstTokenMillis;
  }

  /** Returns the longest silence between two tokens of an engine, in milliseconds. */
  long silenceMillis(TokenGapEstimator gaps) {
    long limitMillis = Math.max(floorMillis, (long) gaps.upperBound(deviations));
    return Math.min(ceilingMillis, limitMillis);
  }

  /** Returns the longest time to the first token of an attempt, in milliseconds. */
  long firstTokenMillis() {
    return firstTokenMillis;
  }
}
