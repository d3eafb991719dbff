package org.gatereel.core.overload;

/** What becomes of a request that arrives. */
public sealed interface OverloadDecision {
  /** It is sent to a target. */
  record Send() implements OverloadDecision {}

  /**
   * It waits for its turn and asks again.
   *
   * @param retryMillis when it asks again
   * @param inputs what decided, for the log
   */
  record Wait(long retryMillis, String inputs) implements OverloadDecision {}

  /**
   * It is refused at once.
   *
   * @param retryAfterMillis when the caller is to come back
   * @param inputs what decided, for the log
   */
  record Reject(long retryAfterMillis, String inputs) implements OverloadDecision {}
}
