package org.gatereel.core.load;

/**
 * A time that hosts have learnt from the responses of a target.
 *
 * <p>Times are kept as logarithms, so that the means of many hosts need none to be computed.
 *
 * @param logMillis the natural logarithm of the time in milliseconds
 * @param weight the number of samples, where older ones count less; 0 if the time is unknown
 */
public record LearntTime(double logMillis, double weight) {
  public static final LearntTime UNKNOWN = new LearntTime(0, 0);

  /** The weight of one host is below this, so that no host outweighs all others. */
  public static final double MAX_HOST_WEIGHT = 32;

  private static final double MIN_LOG_MILLIS = Math.log(0.01);
  private static final double MAX_LOG_MILLIS = Math.log(600_000);

  /** Times that differ by less are not reported again. */
  private static final double NOTICEABLE_LOG_DIFFERENCE = Math.log(1.25);

  /** Weights that differ by less are not reported again. */
  private static final double NOTICEABLE_WEIGHT_RATIO = 4;

  /** Returns a time of so many milliseconds; unknown if the weight is 0. */
  public static LearntTime ofMillis(double millis, double weight) {
    return weight == 0 ? UNKNOWN : new LearntTime(Math.log(millis), weight);
  }

  /** Returns the time in milliseconds. */
  public double millis() {
    return isKnown() ? Math.exp(logMillis) : 0;
  }

  public boolean isKnown() {
    return weight > 0;
  }

  /** Returns whether the figures are possible; others are ignored. */
  public boolean isValid() {
    boolean unknown = weight == 0;
    boolean possible = weight > 0 && Double.isFinite(weight);
    return unknown || possible && logMillis >= MIN_LOG_MILLIS && logMillis <= MAX_LOG_MILLIS;
  }

  /** Returns the mean of both times by weight, on a logarithmic scale. */
  LearntTime plus(LearntTime other) {
    if (!isKnown() || !other.isKnown()) {
      return isKnown() ? this : other;
    }
    double sum = weight + other.weight;
    double mean = (weight * logMillis + other.weight * other.logMillis) / sum;
    return new LearntTime(mean, sum);
  }

  /** Returns the same time with a lower weight, if the weight exceeds {@code maxWeight}. */
  LearntTime withWeightUpTo(double maxWeight) {
    return weight <= maxWeight ? this : new LearntTime(logMillis, maxWeight);
  }

  /** Returns whether a receiver that knows {@code reported} should be told this one. */
  boolean differsNoticeablyFrom(LearntTime reported) {
    if (!isKnown() || !reported.isKnown()) {
      return isKnown() != reported.isKnown();
    }
    return Math.abs(logMillis - reported.logMillis) > NOTICEABLE_LOG_DIFFERENCE
        || ratio(weight, reported.weight) > NOTICEABLE_WEIGHT_RATIO;
  }

  private static double ratio(double one, double other) {
    return Math.max(one, other) / Math.min(one, other);
  }
}
