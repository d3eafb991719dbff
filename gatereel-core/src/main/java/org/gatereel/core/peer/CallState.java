package org.gatereel.core.peer;

/** The state of a claimed call, as known by the host that claimed it. */
public enum CallState {
  /** The call is being executed; its outcome follows. */
  RUNNING,
  /** The target sent a response. */
  ANSWERED,
  /** The call was abandoned before any byte was sent, and will never be sent. */
  NOT_SENT,
  /** The target failed while executing the call. */
  FAILED,
  /** The host has no record of the call, for example after a restart. */
  FORGOTTEN
}
