package org.gatereel.core.rollout;

/**
 * What operators promise about versions that turn out to be bad.
 *
 * @param exposureRatio the part of a service's requests that a bad version may get between the
 *     order and its deadline
 * @param exposureSlack how many requests it may get beside
 * @param rollbackMillis how long after a bound's number of bad answers it may still get any
 */
public record RolloutBounds(double exposureRatio, double exposureSlack, long rollbackMillis) {
  /** What holds where settings say nothing else. */
  public static final RolloutBounds STANDARD = new RolloutBounds(0.1, 50, 5_000);
}
