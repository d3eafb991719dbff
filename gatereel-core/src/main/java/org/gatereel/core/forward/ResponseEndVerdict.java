package org.gatereel.core.forward;

import java.util.Optional;
import org.gatereel.core.event.TargetFailure;

/** What the end of a target's answer is taken for. */
public enum ResponseEndVerdict {
  /** The target has said that nothing is missing. */
  TARGETS_WORD(Optional.empty()),
  /** The target closed the connection and lives, so that its end did not close it. */
  TARGET_ALIVE(Optional.empty()),
  /** The connection was closed, and it is not known yet whether the target lives. */
  IN_DOUBT(Optional.empty()),
  /** The connection was closed, and the target was not there any more when it was probed. */
  TARGET_GONE(Optional.of(TargetFailure.RESET)),
  /** The connection was closed, and the target has answered none of several probes. */
  TARGET_SILENT(Optional.of(TargetFailure.RESET)),
  /** The end came within an event. */
  WITHIN_EVENT(Optional.of(TargetFailure.RESET)),
  /** The connection was closed before any event, so that nothing shows that the run took place. */
  WITHOUT_EVENT(Optional.of(TargetFailure.RESET)),
  /** The run ended before the last event that the caller has, so that it is not of that stream. */
  BEHIND_CALLER(Optional.of(TargetFailure.ERROR));

  private final Optional<TargetFailure> failure;

  ResponseEndVerdict(Optional<TargetFailure> failure) {
    this.failure = failure;
  }

  /** Returns what the attempt failed by, or nothing if the answer may be whole. */
  Optional<TargetFailure> failure() {
    return failure;
  }
}
