package org.gatereel.core.forward;

import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.statement.Announcements;

/** The head of a target's response; headers stay with the transport. */
public interface ResponseHead {
  /** The status of a target that was not the intended recipient. */
  int MISDIRECTED = 421;

  /** Returns the HTTP status. */
  int status();

  /** Returns whether the target declares that it did not execute the request and never will. */
  boolean declaresNotExecuted();

  /**
   * Returns whether this response belongs to this request: it carries the request's id and the
   * signature, and its body is not encoded.
   */
  boolean isAuthentic();

  boolean isEventStream();

  /** Returns the failure that a response with {@link #declaresNotExecuted} stands for. */
  default TargetFailure failure() {
    if (status() == MISDIRECTED) {
      return TargetFailure.GOODBYE;
    }
    return announcements().backoffMillisOrZero() > 0 ? TargetFailure.RESTING : TargetFailure.FULL;
  }

  /** Returns the target's announcements in this response. */
  default Announcements announcements() {
    return Announcements.NONE;
  }

  /**
   * Returns whether the response may be forwarded to the caller.
   *
   * <p>Callers take 408, 421, 429 and 503 to mean that the request was not executed, so responses
   * with these statuses are not forwarded.
   */
  default boolean isForwardable() {
    boolean impliesNotExecuted =
        switch (status()) {
          case 408, MISDIRECTED, 429, 503 -> true;
          default -> false;
        };
    return isAuthentic() && !impliesNotExecuted;
  }
}
