package org.gatereel.core.reach;

/** How a request to another host to relay a connection to a target ended. */
public enum RelayOutcome {
  CONNECTED(0),
  /** The other host reaches other targets but not this one. */
  TARGET_UNREACHABLE(0),
  /**
   * The other host reaches no target, has no capacity, is stopping, or does not know the target.
   */
  UNAVAILABLE(1_000),
  /** The other host did not respond in time, or the connection broke. */
  NO_RESPONSE(2_000),
  /** The other host runs a version that does not relay. */
  UNSUPPORTED(60_000);

  private final long avoidMillis;

  RelayOutcome(long avoidMillis) {
    this.avoidMillis = avoidMillis;
  }

  /** Returns for how long the other host is not asked again. */
  long avoidMillis() {
    return avoidMillis;
  }
}
