package org.gatereel.core.event;

/** How an attempt or call at a target came to an end without an answer. */
public enum TargetFailure {
  /** No connection came about, so that no byte of the request left this host. */
  NOT_CONNECTED(true, false),
  /** The target answered that it is leaving and did not start the request. */
  GOODBYE(true, true),
  /** The target answered that it has no room and did not start the request. */
  FULL(true, false),
  /** The connection broke after the request had been sent. */
  RESET(false, false),
  /** The target answered with an error. */
  ERROR(false, false),
  /** The time for the call ran out. */
  TIMEOUT(false, false);

  private final boolean provesNotRun;
  private final boolean saysLeaving;

  TargetFailure(boolean provesNotRun, boolean saysLeaving) {
    this.provesNotRun = provesNotRun;
    this.saysLeaving = saysLeaving;
  }

  /** Returns whether the target certainly did not run the request. */
  public boolean provesNotRun() {
    return provesNotRun;
  }

  /** Returns whether the target takes no new requests any more. */
  public boolean saysLeaving() {
    return saysLeaving;
  }
}
