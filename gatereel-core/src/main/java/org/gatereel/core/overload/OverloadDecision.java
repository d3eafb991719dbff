package org.gatereel.core.overload;

/** What to do with a request. */
public sealed interface OverloadDecision {
  /** Send it to a target. */
  record Send() implements OverloadDecision {}

  /**
   * Keep it waiting and decide again later.
   *
   * @param retryMillis the time until the next decision
   * @param inputs what the decision was based on, for the log
   */
  record Wait(long retryMillis, String inputs) implements OverloadDecision {}

  /**
   * Reject it.
   *
   * @param retryAfterMillis the {@code Retry-After} time for the caller
   * @param inputs what the decision was based on, for the log
   */
  record Reject(long retryAfterMillis, String inputs) implements OverloadDecision {}
}
