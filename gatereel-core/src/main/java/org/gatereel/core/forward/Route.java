package org.gatereel.core.forward;

import java.util.List;
import org.gatereel.core.model.ServiceName;

/**
 * Where requests of one host name and path prefix go, and what they may cost.
 *
 * @param hostName the host that callers name, without a port
 * @param pathPrefix begins and ends with a slash
 * @param resumable whether a stream may be continued at another target after its last event
 * @param anonymous whether requests need no key
 * @param timeoutMillis the longest time that a request may be held
 * @param objectiveMillis the time within which an answer has its full worth
 * @param maxAttempts how many targets may run one request at most
 * @param priority the rank, 0 first
 * @param gapObjectiveMillis the longest pause between two events with which a stream is still in
 *     time
 * @param services the services that share the requests, by weight; at least one
 */
public record Route(
    String name,
    String hostName,
    String pathPrefix,
    RouteKind kind,
    boolean resumable,
    boolean anonymous,
    long timeoutMillis,
    long objectiveMillis,
    int maxAttempts,
    int priority,
    long gapObjectiveMillis,
    List<WeightedService> services) {
  /** A service and its part of a route's requests. */
  public record WeightedService(ServiceName service, int weight) {}

  public Route {
    services = List.copyOf(services);
  }

  /** Returns whether a request may run again after a run of it may have begun. */
  public boolean mayRetry() {
    return kind == RouteKind.REPEATABLE || (kind == RouteKind.STREAM && resumable);
  }

  /** Returns the service for a request; {@code draw} is uniform between 0 and 1. */
  public ServiceName chooseService(double draw) {
    double total = services.stream().mapToInt(WeightedService::weight).sum();
    double left = draw * total;
    for (WeightedService candidate : services) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
