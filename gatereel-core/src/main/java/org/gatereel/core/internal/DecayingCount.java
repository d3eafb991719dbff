package org.gatereel.core.internal;

/**
 * A count that forgets: what was added a half-life ago weighs half as much as what is added now.
 */
public final class DecayingCount {
  private final double halfLifeMillis;
  private double value;
  private long countedAt;

  /** Makes a count of nothing. */
  public DecayingCount(long halfLifeMillis) {
    this.halfLifeMillis = halfLifeMillis;
  }

  /** Adds one. */
  public void increment(long now) {
    value = at(now) + 1;
    countedAt = now;
  }

  /** Returns what is left of the count at a time, in milliseconds. */
  public double at(long now) {
    return value == 0 ? 0 : value * Math.pow(0.5, (now - countedAt) / halfLifeMillis);
  }
}
