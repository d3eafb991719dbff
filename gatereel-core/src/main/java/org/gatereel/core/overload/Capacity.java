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

  /** Returns how many requests a second can be done; infinite as long as it is not known. */
  double perSecond() {
    return workMillis > 0 ? places * SECOND_MILLIS / workMillis : Double.POSITIVE_INFINITY;
  }

  /** Returns how long a number of requests takes, in milliseconds. */
  double millisFor(double requests) {
    return requests * SECOND_MILLIS / perSecond();
  }
}
