package org.gatereel.core.forward;

import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.statement.Announcements;

/** The head of a target's answer; its headers are the transport's. */
public interface AnswerHead {
  /** The status by which a target says that it is not the one that was meant. */
  int MISDIRECTED = 421;

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

  /** Returns how a request ended that the target declares not to have run. */
  default TargetFailure refusal() {
    if (status() == MISDIRECTED) {
      return TargetFailure.GOODBYE;
    }
    return statements().backoffMillisOrZero() > 0 ? TargetFailure.RESTING : TargetFailure.FULL;
  }

  /** Returns what the answer says of its target. */
  default Announcements statements() {
    return Announcements.NONE;
  }

  /**
   * Returns whether the caller may be given this answer.
   *
   * <p>Statuses that promise "not run" are not passed on from a target that made no such promise.
   */
  default boolean mayReachCaller() {
    boolean promise =
        switch (status()) {
          case 408, MISDIRECTED, 429, 503 -> true;
          default -> false;
        };
    return isAuthentic() && !promise;
  }
}
