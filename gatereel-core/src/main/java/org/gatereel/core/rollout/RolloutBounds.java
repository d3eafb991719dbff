package org.gatereel.core.rollout;

/**
 * The limits within which a bad version may receive requests.
 *
 * @param exposureRatio the ratio of a service's requests between an order and its deadline
 * @param exposureSlack a number of requests in addition to that ratio
 * @param rollbackMillis how long the version may still receive requests after a certain number of
 *     bad responses
 */
public record RolloutBounds(double exposureRatio, double exposureSlack, long rollbackMillis) {
  /** The defaults. */
  public static final RolloutBounds STANDARD = new RolloutBounds(0.1, 50, 5_000);
}
