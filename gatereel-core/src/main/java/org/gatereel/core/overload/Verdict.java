package org.gatereel.core.overload;

/** What becomes of a request that arrives. */
public sealed interface Verdict {
  /** It is sent to a target. */
  record Send() implements Verdict {}

  /**
   * It waits for its turn and asks again.
   *
   * @param retryMillis when it asks again
   * @param inputs what decided, for the log
   */
  record Wait(long retryMillis, String inputs) implements Verdict {}

  /**
   * It is refused at once.
   *
   * @param retryAfterMillis when the caller is to come back
   * @param inputs what decided, for the log
   */
  record Refuse(long retryAfterMillis, String inputs) implements Verdict {}
}
