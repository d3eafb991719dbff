package org.gatereel.core.room;

/** An exponentially weighted moving mean, which is the plain mean of the first few values. */
final class MovingMean {
  private static final double SMOOTHING_RATIO = 1.0 / 16;

  private double mean;
  private int values;

  void record(double value) {
    values++;
    mean += (value - mean) * Math.max(SMOOTHING_RATIO, 1.0 / values);
  }

  double value() {
    return mean;
  }
}
