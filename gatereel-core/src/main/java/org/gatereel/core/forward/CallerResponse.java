package org.gatereel.core.forward;

import java.util.Optional;

/**
 * The response to one caller.
 *
 * <p>Its head is that of the first target with a response to forward. Once the head is sent, no
 * other head and no error may follow: the caller could not tell them from the body.
 */
final class CallerResponse {
  private final CallerPort caller;
  private TargetResponse heldError;
  private boolean begun;
  private boolean committed;
  private boolean ended;

  CallerResponse(CallerPort caller) {
    this.caller = caller;
  }

  /** Returns whether a target's response has begun, so that no other target's may follow. */
  boolean hasBegun() {
    return begun;
  }

  /** Returns whether part of the response may have been sent, so that no rejection may follow. */
  boolean isSent() {
    return begun && caller.hasSent();
  }

  /** Returns whether the final call was made, so that the caller waits for nothing more. */
  boolean hasEnded() {
    return ended;
  }

  /** Returns whether part of a body was sent that no other target can continue. */
  boolean isCommitted() {
    return committed;
  }

  /**
   * Returns whether a target's response can be forwarded.
   *
   * <p>After part of a stream was sent, the body of any other response would end the stream as if
   * it were complete.
   */
  boolean canContinueWith(Attempt from) {
    return !begun || from.isEventStream();
  }

  /** Sends a head, unless one was sent already. */
  void begin(ResponseHead head) {
    if (!begun) {
      begun = true;
      caller.begin(head);
    }
  }

  void write(byte[] bytes) {
    caller.write(bytes);
  }

  void flush() {
    caller.flush();
  }

  /** Sends the first part of a body that is too long to be buffered. */
  void commit(TargetResponse part) {
    committed = true;
    begin(part.head());
    caller.write(part.body());
    caller.flush();
  }

  /** Holds a target's error response, to be sent if no other target succeeds. */
  void holdError(TargetResponse error) {
    heldError = error;
  }

  Optional<TargetResponse> heldError() {
    return Optional.ofNullable(heldError);
  }

  /** Sends the rest of a response and ends it as complete. */
  void finish(TargetResponse rest) {
    begin(rest.head());
    caller.write(rest.body());
    caller.finish();
    ended = true;
  }

  /** Aborts the response, so that the caller does not take it for complete. */
  void abort() {
    caller.abort();
    ended = true;
  }

  /**
   * Rejects the request if nothing of a response was sent, and aborts the response otherwise. Does
   * nothing after the final call.
   *
   * @return whether the request was rejected
   */
  boolean rejectOrAbort(Rejection rejection, long retryAfterMillis) {
    if (ended) {
      return false;
    }
    if (isSent()) {
      abort();
      return false;
    }
    try {
      reject(rejection, retryAfterMillis);
      return true;
    } catch (RuntimeException e) {
      // Without a response, at least the connection must end.
      abort();
      throw e;
    }
  }

  void reject(Rejection rejection, long retryAfterMillis) {
    caller.reject(rejection, retryAfterMillis);
    ended = true;
  }
}
