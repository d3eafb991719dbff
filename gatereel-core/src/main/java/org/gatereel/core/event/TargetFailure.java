package org.gatereel.core.event;

/** The reason why an attempt or call at a target ended without a response. */
public enum TargetFailure {
  /** No connection was established, so that no byte of the request was sent. */
  NOT_CONNECTED(true, true),
  /** The request was withdrawn before it was sent over an established connection. */
  WITHDRAWN(true, false),
  /** The target responded that it is draining and did not start the request. */
  GOODBYE(true, false),
  /** The target responded that it has no free slot and did not start the request. */
  FULL(true, false),
  /** The target responded that it is in backoff and did not start the request. */
  RESTING(true, false),
  /** The connection broke after the request had been sent. */
  RESET(false, true),
  /**
   * The target had no event to add to a resumed stream and did not mark its end, which a sound
   * target does too if the caller has all events.
   */
  NO_FURTHER_EVENT(false, false),
  /** The target responded with an error. */
  ERROR(false, false),
  /** The target sent bytes that are no response, or that do not end. */
  INVALID_RESPONSE(false, false),
  /** The timeout of the call expired. */
  TIMEOUT(false, true);

  private final boolean provesNotRun;
  private final boolean isFault;

  TargetFailure(boolean provesNotRun, boolean isFault) {
    this.provesNotRun = provesNotRun;
    this.isFault = isFault;
  }

  /** Returns whether the target certainly did not execute the request. */
  public boolean provesNotRun() {
    return provesNotRun;
  }

  /** Returns whether the target may be faulty, so that it is avoided for a while. */
  public boolean isFault() {
    return isFault;
  }

  /** Returns whether the target responded, but not with a result. */
  public boolean isBadResponse() {
    return this == ERROR || this == INVALID_RESPONSE;
  }

  /** Returns whether the target announced that it accepts no new requests. */
  public boolean announcesDraining() {
    return this == GOODBYE;
  }

  /** Returns whether no byte of the request was sent to the target. */
  public boolean isUnsent() {
    return this == NOT_CONNECTED || this == WITHDRAWN;
  }
}
