package org.gatereel.core.overload;

/**
 * How long a target of a service usually has to do with one request before it can do the next.
 *
 * <p>The mean of what was seen while there was room. Until enough was seen the shortest counts,
 * which a queue has lengthened least: a host that has just started when a burst comes would take
 * targets for slower than they are, and refuse calls that can be served.
 */
final class ServiceTimeEstimate {
  /** Follows a change within some 20 requests. */
  private static final double GAIN = 1.0 / 16;

  private static final int ENOUGH = 16;

  private double mean;
  private double shortest = Double.POSITIVE_INFINITY;
  private int seen;

  void record(long millis) {
    seen++;
    mean += (millis - mean) * Math.max(GAIN, 1.0 / seen);
    shortest = Math.min(shortest, millis);
  }

  /** Returns what is known, in milliseconds. */
  double millis() {
    return seen < ENOUGH ? shortest : mean;
  }
}
