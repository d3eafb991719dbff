package org.gatereel.core.overload;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.scheduling.Urgency;

/** The time that streams take from being sent to their end, by service and urgency. */
final class StreamTimes {
  /** The reserve before any stream was observed, and the longest one. */
  private static final long MAX_RESERVE_MILLIS = 10_000;

  /** Covers the spread of streams around their mean. */
  private static final double RESERVE_RATIO = 1.25;

  private final Map<Key, ServiceTimeEstimate> estimates = new HashMap<>();

  private record Key(ServiceName service, int rank) {}

  void record(ServiceName service, Urgency urgency, long millis) {
    estimates
        .computeIfAbsent(new Key(service, urgency.rank()), any -> new ServiceTimeEstimate())
        .record(millis);
  }

  /** Returns the time before its deadline at which a stream must be sent, in milliseconds. */
  long reserveMillis(ServiceName service, Urgency urgency) {
    ServiceTimeEstimate estimate = estimates.get(new Key(service, urgency.rank()));
    return estimate == null
        ? MAX_RESERVE_MILLIS
        : Math.min(MAX_RESERVE_MILLIS, Math.round(RESERVE_RATIO * estimate.millis()));
  }
}
