package org.gatereel.core.forward;

/**
 * The limits by which forwarding is decided that no configuration names.
 *
 * @param probeTimeoutMillis how long a probe may go unanswered
 * @param firstEventProbeMillis how long a stream may be silent before its first event until the
 *     target is probed
 * @param retryLimit how many repeats all hosts may make together
 * @param retryAfterMillis what a refused caller is told
 * @param maxBufferedBytes up to which size an answer is held until it is whole
 */
public record ForwardPolicy(
    long probeTimeoutMillis,
    long firstEventProbeMillis,
    RetryLimit retryLimit,
    long retryAfterMillis,
    int maxBufferedBytes) {
  /** What is used where settings say nothing else. */
  public static final ForwardPolicy STANDARD =
      new ForwardPolicy(150, 400, new RetryLimit(0.8, 150, 10_000), 700, 256 << 10);

  /**
   * How many repeats of a service's requests all hosts may make together within any window.
   *
   * @param ratio repeats for each request of the window
   * @param slack repeats that are allowed beside
   * @param windowMillis the length of the window
   */
  public record RetryLimit(double ratio, double slack, long windowMillis) {}

  /** A probe is sent after this part of the longest pause that is still in time. */
  private static final double PROBE_DELAY_RATIO = 0.3;

  /** A stream is moved after this many of those pauses, even if the target answers probes. */
  private static final double STALL_TIMEOUT_RATIO = 3;

  private static final long MIN_GAP_MILLIS = 300;
  private static final long DEFAULT_GAP_MILLIS = 1_000;

  /** Returns the silence between two events after which the target is probed. */
  long probeDelayMillis(Route route) {
    return (long) (PROBE_DELAY_RATIO * gapMillis(route));
  }

  /** Returns the silence between two events after which a stream is moved in any case. */
  long stallTimeoutMillis(Route route) {
    return (long) (STALL_TIMEOUT_RATIO * gapMillis(route));
  }

  private static long gapMillis(Route route) {
    long told = route.gapObjectiveMillis() > 0 ? route.gapObjectiveMillis() : DEFAULT_GAP_MILLIS;
    return Math.max(MIN_GAP_MILLIS, told);
  }
}
