package org.gatereel.core.model;

import java.util.Objects;

/**
 * One failure as a caller is told of it.
 *
 * @param detail what is special about this occurrence and what to do
 * @param retryAfterMillis when to come back, in milliseconds; 0 if coming back does not help
 */
public record Problem(ProblemType type, Outcome outcome, String detail, long retryAfterMillis) {
  public Problem {
    Objects.requireNonNull(type, "type");
    Objects.requireNonNull(outcome, "outcome");
  }

  /** Returns a problem of a request that reached no target and need not be sent again as it is. */
  public static Problem notRun(ProblemType type, String detail) {
    return new Problem(type, Outcome.NOT_RUN, detail, 0);
  }

  /** Returns a problem of a request that reached no target and may be sent again after a while. */
  public static Problem notRun(ProblemType type, String detail, long retryAfterMillis) {
    return new Problem(type, Outcome.NOT_RUN, detail, retryAfterMillis);
  }
}
