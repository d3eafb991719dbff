package org.gatereel.core.generation;

import org.gatereel.core.target.GapTracker;

/**
 * How long an engine may be silent before a second attempt starts beside the first.
 *
 * <p>Silence is judged against that engine's own recent gaps; the floor keeps a very regular engine
 * from being suspected for one slow step.
 */
public enum SuspicionPolicy {
  /** For those who pay for speed. */
  EAGER(8, 250, 1_500),
  BALANCED(14, 600, 3_000),
  /** For those who pay for compute: only a silence that no live engine shows. */
  THRIFTY(30, 2_000, 8_000),
  /** Never; only broken connections count. */
  OFF(0, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4);

  private final double deviations;
  private final long floorMillis;
  private final long firstTokenMillis;

  SuspicionPolicy(double deviations, long floorMillis, long firstTokenMillis) {
    this.deviations = deviations;
    this.floorMillis = floorMillis;
    this.firstTokenMillis = firstTokenMillis;
  }

  /** Returns the longest silence between two tokens of an engine, in milliseconds. */
  long silenceMillis(GapTracker gaps) {
    return Math.max(floorMillis, (long) gaps.bound(deviations));
  }

  /** Returns the longest time to the first token of an attempt, in milliseconds. */
  long firstTokenMillis() {
    return firstTokenMillis;
  }
}
