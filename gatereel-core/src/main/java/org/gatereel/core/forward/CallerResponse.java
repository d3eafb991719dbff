package org.gatereel.core.forward;

import java.util.Optional;

/**
 * The answer that one caller is given, as far as it has come.
 *
 * <p>Its head is that of the first target that had something to say. Once it has begun, no head and
 * no error of another target may follow: the caller could not tell them from the answer itself.
 */
final class CallerResponse {
  private final CallerPort caller;
  private TargetResponse heldError;
  private boolean begun;
  private boolean committed;

  CallerResponse(CallerPort caller) {
    this.caller = caller;
  }

  /** Returns whether the caller has a head, so that no other answer can be given. */
  boolean hasBegun() {
    return begun;
  }

  /** Returns whether the caller has part of a body that no other target can go on with. */
  boolean isCommitted() {
    return committed;
  }

  /**
   * Returns whether a target's answer can be passed on.
   *
   * <p>Where the caller has part of a stream, the body of any other answer would end the stream as
   * if it were complete, short by its rest.
   */
  boolean canContinueWith(Attempt from) {
    return !begun || from.isEventStream();
  }

  /** Sends a head, unless one was sent. */
  void begin(ResponseHead head) {
    if (!begun) {
      begun = true;
      caller.begin(head);
    }
  }

  /** Sends part of a body. */
  void write(byte[] bytes) {
    caller.write(bytes);
  }

  /** Sends part of a body that is too long to be held until it is whole. */
  void commit(TargetResponse part) {
    committed = true;
    begin(part.head());
    caller.write(part.body());
  }

  /** Holds an error of a target, for the case that no other target does better. */
  void holdError(TargetResponse error) {
    heldError = error;
  }

  Optional<TargetResponse> heldError() {
    return Optional.ofNullable(heldError);
  }

  /** Sends what is left of an answer and ends it as complete. */
  void finish(TargetResponse rest) {
    begin(rest.head());
    caller.write(rest.body());
    caller.finish();
  }

  /** Breaks the answer off, so that it cannot be taken for a complete one. */
  void abort() {
    caller.abort();
  }

  void reject(Rejection refusal, long retryAfterMillis) {
    caller.reject(refusal, retryAfterMillis);
  }
}
