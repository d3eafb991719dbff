package org.gatereel.core.internal;

/**
 * The level that something had lately in the mean, such as the requests that were open.
 *
 * <p>Requests that last some milliseconds are seldom open when somebody looks; the mean tells how
 * much of the time they are.
 */
public final class SmoothedLevel {
  private final double halfLifeMillis;
  private int level;
  private double mean;
  private long changedAt;

  /** Makes a level of zero; a change of it shows to one half after the half-life. */
  public SmoothedLevel(long halfLifeMillis) {
    this.halfLifeMillis = halfLifeMillis;
  }

  /** Moves the level up or down. */
  public void change(int by, long now) {
    mean = at(now);
    changedAt = now;
    level = Math.max(0, level + by);
  }

  /** Returns the mean at a time, in milliseconds. */
  public double at(long now) {
    if (level == mean) {
      return mean;
    }
    return level + (mean - level) * Math.pow(0.5, (now - changedAt) / halfLifeMillis);
  }
}
