package org.gatereel.core.forward;

import java.util.Set;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.retry.RetryLimit;
import org.gatereel.core.scheduling.SchedulingFeature;

/**
 * The limits of forwarding that are not part of the configuration.
 *
 * @param probeTimeoutMillis the timeout of a probe
 * @param firstEventProbeMillis the silence before a stream's first event after which the target is
 *     probed
 * @param retryLimit the retries that all hosts may make together
 * @param retryAfterMillis the default {@code Retry-After} of rejected requests
 * @param maxBufferedBytes the largest response body that is buffered completely
 * @param features the scheduling features that are enabled
 */
public record ForwardPolicy(
    long probeTimeoutMillis,
    long firstEventProbeMillis,
    RetryLimit retryLimit,
    long retryAfterMillis,
    int maxBufferedBytes,
    Set<SchedulingFeature> features) {
  /** The defaults. */
  public static final ForwardPolicy STANDARD =
      new ForwardPolicy(150, 400, new RetryLimit(0.8, 150, 10_000), 700, 256 << 10, Set.of());

  public ForwardPolicy {
    features = Set.copyOf(features);
  }

  /** Returns whether a scheduling feature is enabled. */
  public boolean has(SchedulingFeature feature) {
    return features.contains(feature);
  }

  /** Returns this policy with other scheduling features. */
  public ForwardPolicy withFeatures(Set<SchedulingFeature> enabled) {
    return new ForwardPolicy(
        probeTimeoutMillis,
        firstEventProbeMillis,
        retryLimit,
        retryAfterMillis,
        maxBufferedBytes,
        enabled);
  }

  /** Delay of a probe as a ratio of the longest pause that meets the route's objective. */
  private static final double PROBE_DELAY_RATIO = 0.3;

  /**
   * A stream that pauses for this multiple of the longest pause that meets the objective is moved,
   * even if the target responds to probes.
   */
  private static final double STALL_TIMEOUT_RATIO = 3;

  private static final long MIN_GAP_MILLIS = 300;
  private static final long DEFAULT_GAP_MILLIS = 1_000;

  /** Returns the silence after an event after which the target is probed. */
  long probeDelayMillis(Route route) {
    return (long) (PROBE_DELAY_RATIO * gapMillis(route));
  }

  /** Returns the silence after an event after which the stream is moved to another target. */
  long stallTimeoutMillis(Route route) {
    return (long) (STALL_TIMEOUT_RATIO * gapMillis(route));
  }

  private static long gapMillis(Route route) {
    long objectiveMillis =
        route.gapObjectiveMillis() > 0 ? route.gapObjectiveMillis() : DEFAULT_GAP_MILLIS;
    return Math.max(MIN_GAP_MILLIS, objectiveMillis);
  }
}
