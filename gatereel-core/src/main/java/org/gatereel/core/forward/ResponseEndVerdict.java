package org.gatereel.core.forward;

import java.util.Optional;
import org.gatereel.core.event.TargetFailure;

/** The interpretation of the end of a target's response. */
public enum ResponseEndVerdict {
  /** The target marked the response as complete. */
  TARGETS_WORD(Optional.empty()),
  /** The target closed the connection and is alive, so its crash did not close it. */
  TARGET_ALIVE(Optional.empty()),
  /** The connection was closed; a probe is pending. */
  IN_DOUBT(Optional.empty()),
  /** The connection was closed, and the probe found that the target's process had ended. */
  TARGET_GONE(Optional.of(TargetFailure.RESET)),
  /**
   * The connection was closed, and the target responded to none of several probes; the attempt
   * fails if another one replaces it.
   */
  TARGET_SILENT(Optional.of(TargetFailure.RESET)),
  /** The connection was closed, and the target responds without naming its incarnation. */
  TARGET_UNCONFIRMED(Optional.of(TargetFailure.RESET)),
  /** The response ended within an event. */
  WITHIN_EVENT(Optional.of(TargetFailure.RESET)),
  /** The connection was closed before any event, so nothing shows that the request executed. */
  WITHOUT_EVENT(Optional.of(TargetFailure.RESET)),
  /**
   * The connection of a resumed stream was closed before any event; the caller may have them all.
   */
  NOTHING_TO_ADD(Optional.of(TargetFailure.NO_FURTHER_EVENT)),
  /** The stream ended before the last event that the caller has, so it is a different stream. */
  BEHIND_CALLER(Optional.of(TargetFailure.ERROR));

  private final Optional<TargetFailure> failure;

  ResponseEndVerdict(Optional<TargetFailure> failure) {
    this.failure = failure;
  }

  /** Returns the attempt's failure, or empty if the response may be complete. */
  Optional<TargetFailure> failure() {
    return failure;
  }
}
