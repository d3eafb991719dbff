package org.gatereel.core.forward;

import java.util.EnumMap;
import java.util.Map;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.internal.CoreContext;

/**
 * Decides which requests a host accepts while it is shutting down.
 *
 * <p>Callers and the balancer keep sending for a while. A request is accepted only if the usual
 * duration of its kind fits into the remaining time; others are rejected at once and can be retried
 * at another host.
 */
final class ShutdownPolicy {
  private static final double SMOOTHING_FACTOR = 1.0 / 8;
  private static final double SAFETY_FACTOR = 1.5;

  /**
   * Assumed duration of streams until the first one has ended: a second for the prompt and some 130
   * events of 40 ms.
   */
  private static final double DEFAULT_STREAM_MILLIS = 6_000;

  private final CoreContext context;
  private final Map<RouteKind, Double> averageMillis = new EnumMap<>(RouteKind.class);
  private long acceptsUntil = Long.MAX_VALUE;
  private long endsAt = Long.MAX_VALUE;

  ShutdownPolicy(CoreContext context) {
    this.context = context;
  }

  /**
   * Starts the shutdown.
   *
   * @param lastAcceptedAt when the last request is accepted
   * @param endAt when all requests must have ended
   */
  void begin(long lastAcceptedAt, long endAt) {
    acceptsUntil = lastAcceptedAt;
    endsAt = endAt;
  }

  boolean isStopping() {
    return acceptsUntil != Long.MAX_VALUE;
  }

  /** Records the duration of a request. */
  void recordDuration(RouteKind kind, long millis) {
    double average = averageMillis.getOrDefault(kind, (double) millis);
    averageMillis.put(kind, average + SMOOTHING_FACTOR * (millis - average));
  }

  /**
   * Returns whether a new request is accepted now.
   *
   * @param deadlineMillis the longest time that the request may take; one that must not be repeated
   *     could otherwise be cut while its target executes it
   */
  boolean accepts(Route route, long deadlineMillis) {
    if (context.now() >= acceptsUntil) {
      return false;
    }
    if (!route.mayRetry() && isStopping() && deadlineMillis > endsAt - context.now()) {
      return false;
    }
    RouteKind kind = route.kind();
    double defaultMillis = kind == RouteKind.STREAM ? DEFAULT_STREAM_MILLIS : 0;
    double neededMillis = SAFETY_FACTOR * averageMillis.getOrDefault(kind, defaultMillis);
    return endsAt == Long.MAX_VALUE || context.now() + neededMillis <= endsAt;
  }
}
