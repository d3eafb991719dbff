package org.gatereel.core.peer;

/** How far a call that was claimed has come, as the host that claimed it knows. */
public enum CallState {
  /** The call is running; its answer follows. */
  RUNNING,
  /** The target answered. */
  ANSWERED,
  /** The call was given up before any byte was sent, and never will be sent. */
  NOT_SENT,
  /** The target failed while it had the call. */
  FAILED,
  /** The host does not know the call (it may have been replaced since). */
  FORGOTTEN
}
