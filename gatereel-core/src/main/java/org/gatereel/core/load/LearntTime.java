package org.gatereel.core.load;

/**
 * A time that hosts have learnt from the responses of a target.
 *
 * @param millis the time in milliseconds
 * @param weight the number of samples, where older ones count less; 0 if the time is unknown
 */
public record LearntTime(double millis, double weight) {
  public static final LearntTime UNKNOWN = new LearntTime(0, 0);

  /** The weight of one host is below this, so that no host outweighs all others. */
  public static final double MAX_HOST_WEIGHT = 32;

  private static final double MIN_MILLIS = 0.01;
  private static final double MAX_MILLIS = 600_000;

  /** Times that differ by less are not reported again. */
  private static final double NOTICEABLE_RATIO = 1.25;

  /** Weights that differ by less are not reported again. */
  private static final double NOTICEABLE_WEIGHT_RATIO = 4;

  public boolean isKnown() {
    return weight > 0;
  }

  /** Returns whether the figures are possible; others are ignored. */
  public boolean isValid() {
    boolean unknown = weight == 0;
    boolean possible = weight > 0 && Double.isFinite(weight);
    return unknown || possible && millis >= MIN_MILLIS && millis <= MAX_MILLIS;
  }

  /** Returns the mean of both times by weight, on a logarithmic scale. */
  LearntTime plus(LearntTime other) {
    if (!isKnown() || !other.isKnown()) {
      return isKnown() ? this : other;
    }
    double sum = weight + other.weight;
    double log = (weight * Math.log(millis) + other.weight * Math.log(other.millis)) / sum;
    return new LearntTime(Math.exp(log), sum);
  }

  /** Returns the same time with a lower weight, if the weight exceeds {@code maxWeight}. */
  LearntTime withWeightUpTo(double maxWeight) {
    return weight <= maxWeight ? this : new LearntTime(millis, maxWeight);
  }

  /** Returns whether a receiver that knows {@code reported} should be told this one. */
  boolean differsNoticeablyFrom(LearntTime reported) {
    if (!isKnown() || !reported.isKnown()) {
      return isKnown() != reported.isKnown();
    }
    return ratio(millis, reported.millis) > NOTICEABLE_RATIO
        || ratio(weight, reported.weight) > NOTICEABLE_WEIGHT_RATIO;
  }

  private static double ratio(double one, double other) {
    return Math.max(one, other) / Math.min(one, other);
  }
}
