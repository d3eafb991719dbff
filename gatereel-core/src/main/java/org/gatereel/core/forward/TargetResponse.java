package org.gatereel.core.forward;

/** A response of a target, buffered until it is decided whether the caller receives it. */
@SuppressWarnings("ArrayRecordComponent") // never compared
record TargetResponse(ResponseHead head, byte[] body) {
  private static final int FIRST_ERROR_STATUS = 500;

  boolean isError() {
    return head.status() >= FIRST_ERROR_STATUS;
  }
}
