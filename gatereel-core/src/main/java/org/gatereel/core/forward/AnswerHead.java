package org.gatereel.core.forward;

import org.gatereel.core.statement.Statements;

/** The head of a target's answer; its headers are the transport's. */
public interface AnswerHead {
  int status();

  /** Returns whether the target declares that it did not run the request and never will. */
  boolean declaresNotRun();

  /**
   * Returns whether this is the target's answer to this request: the request's id comes back, the
   * signature is there and the body is not encoded.
   */
  boolean isAuthentic();

  /** Returns whether the body is a stream of events. */
  boolean isEventStream();

  /** Returns what the answer says of its target. */
  default Statements statements() {
    return Statements.NONE;
  }

  /**
   * Returns whether the caller may be given this answer.
   *
   * <p>Statuses that promise "not run" are not passed on from a target that made no such promise.
   */
  default boolean mayReachCaller() {
    boolean promise =
        switch (status()) {
          case 408, 421, 429, 503 -> true;
          default -> false;
        };
    return isAuthentic() && !promise;
  }
}
