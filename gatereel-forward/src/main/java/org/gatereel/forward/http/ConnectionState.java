package org.gatereel.forward.http;

/** What a host owes the caller of a connection. */
public enum ConnectionState {
  /** No byte of a first request has been received. */
  NEW,
  /** All responses are written, and no byte of a next request has been received. */
  IDLE,
  /** Part of a request has been received. */
  RECEIVING,
  /** A request awaits its response. */
  WAITING,
  /** Part of the last response is not written to the socket. */
  WRITING
}
