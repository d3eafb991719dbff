package org.gatereel.core.overload;

/**
 * Estimates how long one request occupies a slot at a target of a service.
 *
 * <p>The estimate is a moving average of the recorded times. Until there are enough samples it is
 * their minimum, which queueing delay affects least: a host that starts during a burst would
 * otherwise estimate targets as too slow, and reject calls that can be served.
 */
final class ServiceTimeEstimate {
  /** Follows a change within some 20 requests. */
  private static final double SMOOTHING_RATIO = 1.0 / 16;

  private static final int MIN_SAMPLES = 16;

  private double mean;
  private double shortest = Double.POSITIVE_INFINITY;
  private int samples;

  void record(long millis) {
    samples++;
    mean += (millis - mean) * Math.max(SMOOTHING_RATIO, 1.0 / samples);
    shortest = Math.min(shortest, millis);
  }

  /** Returns the estimate in milliseconds. */
  double millis() {
    return samples < MIN_SAMPLES ? shortest : mean;
  }
}
