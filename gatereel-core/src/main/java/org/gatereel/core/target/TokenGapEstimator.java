package org.gatereel.core.target;

/**
 * Learns how long one engine usually takes between two tokens.
 *
 * <p>It keeps a decaying mean and mean deviation, as transport protocols do for round trips: two
 * numbers an engine, no samples.
 */
public final class TokenGapEstimator {
  private static final double MEAN_GAIN = 1.0 / 32;
  private static final double DEVIATION_GAIN = 1.0 / 16;
  private static final double START_MILLIS = 30;
  private static final double OUTLIER_DEVIATIONS = 10;

  private double mean = START_MILLIS;
  private double deviation = START_MILLIS;

  /**
   * Adds one gap in milliseconds.
   *
   * <p>A gap far beyond the usual counts as a long one only: an engine that was frozen for seconds
   * and came back must not be given seconds from then on.
   */
  public void addGap(long gapMillis) {
    double error = Math.min((double) gapMillis, upperBound(OUTLIER_DEVIATIONS)) - mean;
    mean += MEAN_GAIN * error;
    deviation += DEVIATION_GAIN * (Math.abs(error) - deviation);
  }

  /** Returns the mean gap plus {@code deviations} mean deviations, in milliseconds. */
  public double upperBound(double deviations) {
    return mean + deviations * deviation;
  }
}
