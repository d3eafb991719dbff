package org.gatereel.core.event;

/** How an attempt or call at a target came to an end without an answer. */
public enum TargetFailure {
  /** No connection came about, so that no byte of the request left this host. */
  NOT_CONNECTED(true, true),
  /** The target was not to be sent the request any more when the connection stood. */
  WITHDRAWN(true, false),
  /** The target answered that it is leaving and did not start the request. */
  GOODBYE(true, false),
  /** The target answered that it has no room and did not start the request. */
  FULL(true, false),
  /** The target answered that it wants nothing for a while, and did not start the request. */
  RESTING(true, false),
  /** The connection broke after the request had been sent. */
  RESET(false, true),
  /** The target answered with an error. */
  ERROR(false, false),
  /** The time for the call ran out. */
  TIMEOUT(false, true);

  private final boolean provesNotRun;
  private final boolean isFault;

  TargetFailure(boolean provesNotRun, boolean isFault) {
    this.provesNotRun = provesNotRun;
    this.isFault = isFault;
  }

  /** Returns whether the target certainly did not run the request. */
  public boolean provesNotRun() {
    return provesNotRun;
  }

  /** Returns whether the target may be out of order, so that it is passed over for a while. */
  public boolean isFault() {
    return isFault;
  }

  /** Returns whether the target takes no new requests any more. */
  public boolean announcesDraining() {
    return this == GOODBYE;
  }

  /** Returns whether the request was kept back, so that the target has not got it. */
  public boolean isUnsent() {
    return this == NOT_CONNECTED || this == WITHDRAWN;
  }
}
