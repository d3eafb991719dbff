package org.gatereel.core.forward;

import java.util.EnumMap;
import java.util.Map;
import org.gatereel.core.internal.CoreContext;

/**
 * Decides which requests a host that is stopping still takes.
 *
 * <p>The balancer goes on sending for a moment, and callers go on using open connections. A request
 * is taken only if what its kind usually lasts fits into the time that is left; the others are
 * refused at once, so that they begin elsewhere instead of being cut off.
 */
final class ShutdownPolicy {
  private static final double SMOOTHING_FACTOR = 1.0 / 8;
  private static final double SAFETY_FACTOR = 1.5;

  /**
   * How long streams last as far as a host knows that has not seen one end: some 130 events of 40
   * ms, after a second for the prompt.
   */
  private static final double DEFAULT_STREAM_MILLIS = 6_000;

  private final CoreContext context;
  private final Map<RouteKind, Double> averageMillis = new EnumMap<>(RouteKind.class);
  private long acceptsUntil = Long.MAX_VALUE;
  private long endsAt = Long.MAX_VALUE;

  ShutdownPolicy(CoreContext context) {
    this.context = context;
  }

  /** Begins to stop: nothing is taken after the first time, everything has ended at the second. */
  void begin(long lastTakenAt, long endAt) {
    acceptsUntil = lastTakenAt;
    endsAt = endAt;
  }

  boolean isStopping() {
    return acceptsUntil != Long.MAX_VALUE;
  }

  /** Learns how long a request of a kind lasted. */
  void recordDuration(RouteKind kind, long millis) {
    double known = averageMillis.getOrDefault(kind, (double) millis);
    averageMillis.put(kind, known + SMOOTHING_FACTOR * (millis - known));
  }

  /** Returns whether a request of a kind that comes now is to be taken. */
  boolean accepts(RouteKind kind) {
    if (context.now() >= acceptsUntil) {
      return false;
    }
    double assumed = kind == RouteKind.STREAM ? DEFAULT_STREAM_MILLIS : 0;
    double needed = SAFETY_FACTOR * averageMillis.getOrDefault(kind, assumed);
    return endsAt == Long.MAX_VALUE || context.now() + needed <= endsAt;
  }
}
