package org.gatereel.forward.http;

/** Events that {@link CallerConnection} fires on the pipeline of a caller's connection. */
enum CallerEvent {
  /** No request of the connection awaits its response. */
  ALL_ANSWERED
}
