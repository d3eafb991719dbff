package org.gatereel.forward.http;

/** Receives the ends of callers' connections, for metrics and the log. */
public interface ConnectionObserver {
  /**
   * Records that a connection was closed.
   *
   * @param state the state in which the connection was closed
   * @param detail the last request and the ages of the connection, as {@code key=value} pairs
   */
  void recordClosed(CloseReason reason, ConnectionState state, String detail);
}
