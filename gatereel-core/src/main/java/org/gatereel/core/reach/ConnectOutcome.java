package org.gatereel.core.reach;

/** How an attempt to connect to a target ended. */
public enum ConnectOutcome {
  CONNECTED,
  /** The address rejected the connection, or a network element did so in its place. */
  REFUSED,
  /** Nothing responded within the timeout. */
  TIMED_OUT,
  /** The connection failed on this host, or in another way. */
  FAILED
}
