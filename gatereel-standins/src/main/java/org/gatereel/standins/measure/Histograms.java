package org.gatereel.standins.measure;

import org.HdrHistogram.Histogram;

/** Makes the histograms of all experiments: microseconds up to ten minutes, three digits. */
final class Histograms {
  private static final long TEN_MINUTES_MICROS = 600_000_000L;
  private static final int DIGITS = 3;

  private Histograms() {}

  static Histogram create() {
    return new Histogram(TEN_MINUTES_MICROS, DIGITS);
  }
}
