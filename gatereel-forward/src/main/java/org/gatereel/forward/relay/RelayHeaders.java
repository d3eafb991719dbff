package org.gatereel.forward.relay;

/** The names of headers in a {@code CONNECT} request between hosts. */
final class RelayHeaders {
  /** The id of the target to connect to. */
  static final String TARGET = "Relay-Target";

  /** The start of the target in milliseconds since 1970, as known from its entry. */
  static final String TARGET_START = "Relay-Target-Start";

  /** The id of the caller's request, for the log. */
  static final String REQUEST = "Relay-Request";

  /** The time after which the connection is of no use, in milliseconds. */
  static final String REMAINING_MILLIS = "Relay-Remaining-Millis";

  private RelayHeaders() {}
}
