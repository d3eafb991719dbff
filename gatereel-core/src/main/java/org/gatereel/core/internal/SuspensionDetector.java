package org.gatereel.core.internal;

/**
 * Detects the time in which the host was suspended, which its steady clock does not count.
 *
 * <p>An advance of the time of day over the steady clock counts as a suspension. If the time of day
 * was only set forward, information is treated as older than it is, which is safe. A backward step
 * is not reported, and hides a suspension of the same length that it coincides with.
 */
public final class SuspensionDetector {
  /** Above the usual adjustments of the time of day. Shorter suspensions accumulate. */
  static final long MIN_SUSPENSION_MILLIS = 200;

  private long baselineOffsetMillis;
  private boolean started;

  /**
   * Compares both clocks, which must be read one after the other.
   *
   * @return the length of the suspension since the last call, in milliseconds; 0 if there was none
   */
  public long observe(long steadyMillis, long timeOfDayMillis) {
    long offsetMillis = timeOfDayMillis - steadyMillis;
    long lostMillis = started ? offsetMillis - baselineOffsetMillis : 0;
    if (!started || lostMillis < 0) {
      started = true;
      baselineOffsetMillis = offsetMillis;
      return 0;
    }
    if (lostMillis < MIN_SUSPENSION_MILLIS) {
      return 0;
    }
    baselineOffsetMillis = offsetMillis;
    return lostMillis;
  }
}
