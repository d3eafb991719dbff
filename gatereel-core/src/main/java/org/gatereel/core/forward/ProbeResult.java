package org.gatereel.core.forward;

/** What a probe has shown of a target. */
public enum ProbeResult {
  /** The target answered. */
  ALIVE,
  /** Nobody takes connections at its address, or somebody else does. */
  GONE,
  /** No answer came in time, or the connection broke, as also happens where a target is busy. */
  UNKNOWN
}
