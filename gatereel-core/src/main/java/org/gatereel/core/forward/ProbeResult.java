package org.gatereel.core.forward;

/** The result of probing one incarnation of a target. */
public enum ProbeResult {
  /** That incarnation responded, or a target responded that does not report its start. */
  ALIVE,
  /** A target with this id responded without reporting its incarnation. */
  ANSWERED,
  /** The address accepts no connections, or is used by another target or a later incarnation. */
  GONE,
  /**
   * No response arrived in time, or the connection broke, which can also happen to a busy target.
   */
  UNKNOWN;

  /** Returns whether a target with this id responded. */
  public boolean isResponse() {
    return this == ALIVE || this == ANSWERED;
  }
}
