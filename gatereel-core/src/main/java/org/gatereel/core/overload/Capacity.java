package org.gatereel.core.overload;

/**
 * What the targets of a service can do.
 *
 * @param engines whether they are model engines, which read one prompt after another
 * @param places how many requests they begin at the same time
 * @param workMillis how long a place is taken by one; 0 as long as that is not known
 */
record Capacity(boolean engines, int places, double workMillis) {
  private static final double SECOND_MILLIS = 1_000;

  /**
   * Lets full queues empty: 24 calls in 1.6 s at 6 slots and 61 ms (arithmetic). Where one account
   * asks for 30 times its usual, 0.51 of all calls are in time in place of 0.42, and 0.91 answered
   * as before; where all ask for four times their usual, 0.51 in place of 0.48 (95 and 73 hosts,
   * replayed with three seeds).
   */
  private static final double DRAINING_PART = 0.85;

  /** Returns how many requests a second can be done; infinite as long as it is not known. */
  double perSecond() {
    return workMillis > 0 ? places * SECOND_MILLIS / workMillis : Double.POSITIVE_INFINITY;
  }

  /**
   * Returns how many requests a second are shared out while more are asked for.
   *
   * <p>By the time that a plain service shows that it is overloaded its queues are full, and at the
   * full rate they stay so: all that is served is late.
   */
  double sharedPerSecond() {
    return engines ? perSecond() : DRAINING_PART * perSecond();
  }

  /** Returns how long a number of requests takes, in milliseconds. */
  double millisFor(double requests) {
    return requests * SECOND_MILLIS / perSecond();
  }
}
