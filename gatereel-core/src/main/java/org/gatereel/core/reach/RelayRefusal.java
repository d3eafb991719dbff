package org.gatereel.core.reach;

/** Why a host does not relay a connection of another host. */
public enum RelayRefusal {
  /** The host is shutting down. */
  STOPPING,
  /** The host relays as many connections as it may. */
  BUSY,
  /** The host does not know the target, or has lost its own direct path to it. */
  NO_DIRECT_PATH,
  /** The host could not connect to the target. */
  CONNECT_FAILED
}
