package org.gatereel.control.log;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** How values of one kind are spread. */
final class Spread {
  private static final int DIGITS = 4;

  /** Values are kept as whole tenths; a stream makes an event in 30 ms or more. */
  private static final double SCALE = 10;

  private final Histogram values = new Histogram(DIGITS);

  void add(double value) {
    values.recordValue(Math.max(0, Math.round(value * SCALE)));
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
        at(10),
        at(50),
        at(90),
        at(99),
        values.getTotalCount());
  }

  private double at(double percentile) {
    return values.getValueAtPercentile(percentile) / SCALE;
  }
}
