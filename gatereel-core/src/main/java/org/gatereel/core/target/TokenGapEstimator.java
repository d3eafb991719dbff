package org.gatereel.core.target;

/**
 * Estimates the usual time between two tokens of one engine.
 *
 * <p>It keeps an exponentially decaying mean and mean deviation.
 */
public final class TokenGapEstimator {
  private static final double MEAN_GAIN = 1.0 / 32;
  private static final double DEVIATION_GAIN = 1.0 / 16;
  private static final double INITIAL_MILLIS = 30;
  private static final double OUTLIER_DEVIATIONS = 10;

  private double mean = INITIAL_MILLIS;
  private double deviation = INITIAL_MILLIS;

  /**
   * Adds one gap in milliseconds.
   *
   * <p>The gap is capped at {@link #OUTLIER_DEVIATIONS}, so that one long pause of an engine does
   * not raise the estimate to seconds.
   */
  public void addGap(long gapMillis) {
    double difference = Math.min((double) gapMillis, upperBound(OUTLIER_DEVIATIONS)) - mean;
    mean += MEAN_GAIN * difference;
    deviation += DEVIATION_GAIN * (Math.abs(difference) - deviation);
  }

  /** Returns the mean gap plus {@code deviations} mean deviations, in milliseconds. */
  public double upperBound(double deviations) {
    return mean + deviations * deviation;
  }
}
