package org.gatereel.core.forward;

/** What a probe has shown of one run of a target. */
public enum ProbeResult {
  /** That run answered, or a target answered that does not tell when it began. */
  ALIVE,
  /** Some run answered under its name, and did not tell which. */
  ANSWERED,
  /** Nobody takes connections at its address, or somebody else does, or a later run. */
  GONE,
  /** No answer came in time, or the connection broke, as also happens where a target is busy. */
  UNKNOWN;

  /** Returns whether somebody works under the target's name. */
  boolean isResponse() {
    return this == ALIVE || this == ANSWERED;
  }
}
