package org.gatereel.core.model;

import java.util.Objects;

/**
 * A failure that is reported to a caller or an operator.
 *
 * @param detail describes this occurrence
 * @param retryAfterMillis the delay before a retry, in milliseconds; 0 if a retry does not help
 */
public record Problem(ProblemType type, Outcome outcome, String detail, long retryAfterMillis) {
  public Problem {
    Objects.requireNonNull(type, "type");
    Objects.requireNonNull(outcome, "outcome");
  }

  /** Returns a problem of a request that was not executed and for which a retry does not help. */
  public static Problem notRun(ProblemType type, String detail) {
    return new Problem(type, Outcome.NOT_RUN, detail, 0);
  }

  /** Returns a problem of a request that was not executed and may be retried after a delay. */
  public static Problem notRun(ProblemType type, String detail, long retryAfterMillis) {
    return new Problem(type, Outcome.NOT_RUN, detail, retryAfterMillis);
  }
}
