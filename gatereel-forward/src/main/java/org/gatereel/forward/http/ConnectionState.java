package org.gatereel.forward.http;

/** What a host owes the caller of a connection. */
public enum ConnectionState {
  /** No byte of a first request has been received. */
  NEW(false),
  /** All responses are written, and no byte of a next request has been received. */
  IDLE(false),
  /** Part of a request has been received. */
  RECEIVING(true),
  /** A request awaits its response. */
  WAITING(true),
  /** Part of the last response is not written to the socket. */
  WRITING(true),
  /** The last response of the connection is written. */
  ENDING(false);

  private final boolean owesResponse;

  ConnectionState(boolean owesResponse) {
    this.owesResponse = owesResponse;
  }

  /** Returns whether the caller would miss a response if the connection were closed now. */
  public boolean owesResponse() {
    return owesResponse;
  }

  /** Returns whether the connection may be closed without telling the caller before. */
  boolean isAtRest() {
    return this == NEW || this == IDLE;
  }
}
