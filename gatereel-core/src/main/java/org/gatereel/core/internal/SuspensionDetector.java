package org.gatereel.core.internal;

/**
 * Finds the time in which the host was suspended, which its steady clock does not count.
 *
 * <p>The time of day counts it. Where that goes ahead of the steady clock, the difference is taken
 * for time that was lost: if it was only set forward, what is known is taken for older than it is,
 * which is safe. Set backward it says nothing. A suspension during which it is set backward by as
 * much is not found.
 */
public final class SuspensionDetector {
  /** Clocks that are kept in step differ by far less; what is shorter adds up until it counts. */
  static final long MIN_SUSPENSION_MILLIS = 200;

  private long usualOffsetMillis;
  private boolean started;

  /**
   * Takes in both clocks, read one after the other.
   *
   * @return the time that was lost since the last call, in milliseconds; 0 if there was none
   */
  public long observe(long steadyMillis, long timeOfDayMillis) {
    long ahead = timeOfDayMillis - steadyMillis;
    long lost = started ? ahead - usualOffsetMillis : 0;
    if (!started || lost < 0) {
      started = true;
      usualOffsetMillis = ahead;
      return 0;
    }
    if (lost < MIN_SUSPENSION_MILLIS) {
      return 0;
    }
    usualOffsetMillis = ahead;
    return lost;
  }
}
