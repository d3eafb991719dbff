package org.gatereel.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** The results of one experiment, as a printed table and as JSON. */
final class Result {
  private static final double MICROS_IN_MILLI = 1_000.0;

  private final List<Line> lines = new ArrayList<>();

  /** One measured quantity. */
  record Line(
      String what, String unit, long count, double median, double p95, double p99, double worst) {
    @Override
    public String toString() {
      return count == 1
          ? String.format(Locale.ROOT, "%-62s %12.2f %s", what, median, unit)
          : String.format(
              Locale.ROOT,
              "%-62s n=%-6d median %8.2f  p95 %8.2f  p99 %8.2f  worst %8.2f %s",
              what,
              count,
              median,
              p95,
              p99,
              worst,
              unit);
    }
  }

  /** Adds a distribution of times in microseconds, printed in milliseconds. */
  void add(String what, Histogram micros) {
    Line line =
        new Line(
            what,
            "ms",
            micros.getTotalCount(),
            micros.getValueAtPercentile(50) / MICROS_IN_MILLI,
            micros.getValueAtPercentile(95) / MICROS_IN_MILLI,
            micros.getValueAtPercentile(99) / MICROS_IN_MILLI,
            micros.getMaxValue() / MICROS_IN_MILLI);
    lines.add(line);
    System.out.println(line);
  }

  /** Adds a single value. */
  void add(String what, double value, String unit) {
    Line line = new Line(what, unit, 1, value, value, value, value);
    lines.add(line);
    System.out.println(line);
  }

  List<Line> lines() {
    return List.copyOf(lines);
  }
}
