package org.gatereel.core.rollout;

/**
 * Answers of one version, counted by one or more hosts.
 *
 * @param responses all that came
 * @param bad those of them that were failures, or several times slower than is usual
 * @param timed those whose time was taken
 * @param logMillis the sum of the natural logarithms of those times in milliseconds
 */
public record ResponseTally(long responses, long bad, long timed, double logMillis) {
  /** Nothing was counted. */
  public static final ResponseTally NONE = new ResponseTally(0, 0, 0, 0);

  /** Adds what other hosts counted. */
  public ResponseTally plus(ResponseTally other) {
    return new ResponseTally(
        responses + other.responses,
        bad + other.bad,
        timed + other.timed,
        logMillis + other.logMillis);
  }

  /** Returns the geometric mean of the times in milliseconds; 0 if none was taken. */
  double meanMillis() {
    return timed == 0 ? 0 : Math.exp(logMillis / timed);
  }

  double badRatio() {
    return responses == 0 ? 0 : (double) bad / responses;
  }
}
