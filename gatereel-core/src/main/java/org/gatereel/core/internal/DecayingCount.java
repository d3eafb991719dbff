package org.gatereel.core.internal;

/**
 * A count that forgets: what was added a half-life ago weighs half as much as what is added now.
 */
public final class DecayingCount {
  private final double halfLifeMillis;
  private double value;
  private long updatedAt;

  /** Makes a count of nothing. */
  public DecayingCount(long halfLifeMillis) {
    this.halfLifeMillis = halfLifeMillis;
  }

  /** Adds one. */
  public void increment(long now) {
    value = valueAt(now) + 1;
    updatedAt = now;
  }

  /** Returns what is left of the count at a time, in milliseconds. */
  public double valueAt(long now) {
    return value == 0 ? 0 : value * Math.pow(0.5, (now - updatedAt) / halfLifeMillis);
  }
}
