package org.gatereel.core.rollout;

/**
 * Responses of one version, counted by one or more hosts.
 *
 * @param responses the number of all responses
 * @param bad those that were errors or slow
 * @param timed those with a recorded time
 * @param logMillis the sum of the natural logarithms of these times in milliseconds
 */
public record ResponseTally(long responses, long bad, long timed, double logMillis) {
  public static final ResponseTally NONE = new ResponseTally(0, 0, 0, 0);

  /** Adds the counts of another tally. */
  public ResponseTally plus(ResponseTally other) {
    return new ResponseTally(
        responses + other.responses,
        bad + other.bad,
        timed + other.timed,
        logMillis + other.logMillis);
  }

  /** Returns the geometric mean of the times in milliseconds; 0 if there are none. */
  double meanMillis() {
    return timed == 0 ? 0 : Math.exp(logMillis / timed);
  }

  double badRatio() {
    return responses == 0 ? 0 : (double) bad / responses;
  }
}
