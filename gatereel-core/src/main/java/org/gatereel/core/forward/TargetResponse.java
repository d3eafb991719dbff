package org.gatereel.core.forward;

/** A whole answer of a target, held until it is decided whether the caller gets it. */
@SuppressWarnings("ArrayRecordComponent") // compared by nobody
record TargetResponse(ResponseHead head, byte[] body) {
  private static final int FIRST_ERROR_STATUS = 500;

  /** Returns whether the target says that it failed. */
  boolean isError() {
    return head.status() >= FIRST_ERROR_STATUS;
  }
}
