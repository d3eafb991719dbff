package org.gatereel.control.log;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** The percentiles of a series of values. */
final class PercentileSummary {
  private static final int SIGNIFICANT_DIGITS = 4;

  /** The histogram stores integers; values are rounded to tenths. */
  private static final double UNITS_PER_VALUE = 10;

  private final Histogram values = new Histogram(SIGNIFICANT_DIGITS);

  void add(double value) {
    values.recordValue(Math.max(0, Math.round(value * UNITS_PER_VALUE)));
  }

  /** Returns the 10th, 50th, 90th and 99th percentile and the number of values. */
  @Override
  public String toString() {
    if (values.getTotalCount() == 0) {
      return "-";
    }
    return String.format(
        Locale.ROOT,
        "%.1f %.1f %.1f %.1f (of %d)",
        percentile(10),
        percentile(50),
        percentile(90),
        percentile(99),
        values.getTotalCount());
  }

  private double percentile(double percentile) {
    return values.getValueAtPercentile(percentile) / UNITS_PER_VALUE;
  }
}
