package org.gatereel.core.internal;

/** The largest of the values that were recorded within a period, or up to two of it. */
final class RecentMaximum {
  private final long periodMillis;
  private long period = Long.MIN_VALUE;
  private long current;
  private long previous;

  /** Starts without values. */
  RecentMaximum(long periodMillis) {
    this.periodMillis = periodMillis;
  }

  void record(long value, long now) {
    moveTo(now);
    current = Math.max(current, value);
  }

  /** Returns the maximum; 0 without values. */
  long valueAt(long now) {
    moveTo(now);
    return Math.max(current, previous);
  }

  private void moveTo(long now) {
    long newPeriod = Math.floorDiv(now, periodMillis);
    if (newPeriod != period) {
      previous = newPeriod == period + 1 ? current : 0;
      current = 0;
      period = newPeriod;
    }
  }
}
