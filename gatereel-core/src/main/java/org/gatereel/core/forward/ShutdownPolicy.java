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
  private static final double GAIN = 1.0 / 8;
  private static final double SAFETY = 1.5;

  /**
   * How long streams last as far as a host knows that has not seen one end: some 130 events of 40
   * ms, after a second for the prompt.
   */
  private static final double ASSUMED_STREAM_MILLIS = 6_000;

  private final CoreContext context;
  private final Map<RouteKind, Double> usualMillis = new EnumMap<>(RouteKind.class);
  private long takesUntil = Long.MAX_VALUE;
  private long endsAt = Long.MAX_VALUE;

  ShutdownPolicy(CoreContext context) {
    this.context = context;
  }

  /** Begins to stop: nothing is taken after the first time, everything has ended at the second. */
  void begin(long lastTakenAt, long endAt) {
    takesUntil = lastTakenAt;
    endsAt = endAt;
  }

  boolean isStopping() {
    return takesUntil != Long.MAX_VALUE;
  }

  /** Learns how long a request of a kind lasted. */
  void lasted(RouteKind kind, long millis) {
    double known = usualMillis.getOrDefault(kind, (double) millis);
    usualMillis.put(kind, known + GAIN * (millis - known));
  }

  /** Returns whether a request of a kind that comes now is to be taken. */
  boolean takes(RouteKind kind) {
    if (context.now() >= takesUntil) {
      return false;
    }
    double assumed = kind == RouteKind.STREAM ? ASSUMED_STREAM_MILLIS : 0;
    double needed = SAFETY * usualMillis.getOrDefault(kind, assumed);
    return endsAt == Long.MAX_VALUE || context.now() + needed <= endsAt;
  }
}
