package org.gatereel.core.generation;

import org.gatereel.core.target.TokenGapEstimator;

/**
 * How long an engine may be silent before a second attempt starts beside the first.
 *
 * <p>Silence is judged against that engine's own recent gaps. The floor keeps a very regular engine
 * from being suspected for one slow step; the ceiling keeps a caller's wait within a few seconds.
 */
public enum SuspicionPolicy {
  /** For those who pay for speed. */
  EAGER(8, 400, 1_000, 1_500),
  BALANCED(14, 700, 2_000, 3_000),
  /** For those who pay for compute: only a silence that no live engine shows. */
  THRIFTY(30, 2_000, 4_000, 4_000),
  /** Never; only broken connections count. */
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
    long usual = Math.max(floorMillis, (long) gaps.upperBound(deviations));
    return Math.min(ceilingMillis, usual);
  }

  /** Returns the longest time to the first token of an attempt, in milliseconds. */
  long firstTokenMillis() {
    return firstTokenMillis;
  }
}
