package org.gatereel.core.room;

import org.HdrHistogram.Histogram;

/**
 * Learns how long an engine takes to read one prompt, from the times until first events.
 *
 * <p>A low percentile counts, because most times include prompts of other hosts that were not
 * reported when the request was sent.
 */
final class PromptTimes {
  private static final double UNQUEUED_PERCENTILE = 25;

  /** Streams after which a new sample replaces the one in use, so that changes are followed. */
  private static final int SAMPLE_STREAMS = 128;

  private static final int PRECISION_DIGITS = 2;

  private Histogram sample = new Histogram(PRECISION_DIGITS);
  private Histogram used = sample;

  void record(long millis) {
    sample.recordValue(Math.max(0, millis));
    if (sample.getTotalCount() >= SAMPLE_STREAMS) {
      used = sample;
      sample = new Histogram(PRECISION_DIGITS);
    }
  }

  double millis() {
    return used.getValueAtPercentile(UNQUEUED_PERCENTILE);
  }
}
