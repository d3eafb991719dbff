package org.gatereel.core.internal;

/** A count with exponential decay: an increment counts half as much after each half-life. */
public final class DecayingCount {
  private final double halfLifeMillis;
  private double value;
  private long updatedAt;

  /** Makes a count of zero. */
  public DecayingCount(long halfLifeMillis) {
    this.halfLifeMillis = halfLifeMillis;
  }

  /** Adds one. */
  public void increment(long now) {
    value = valueAt(now) + 1;
    updatedAt = now;
  }

  /** Returns the decayed count at {@code now}, a time in milliseconds. */
  public double valueAt(long now) {
    return value == 0 ? 0 : value * Math.pow(0.5, (now - updatedAt) / halfLifeMillis);
  }
}
