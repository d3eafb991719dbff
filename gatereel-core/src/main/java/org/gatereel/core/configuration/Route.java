package org.gatereel.core.configuration;

import java.util.List;
import org.gatereel.core.model.ServiceName;

/**
 * The destination and the limits of requests with one host name and path prefix.
 *
 * @param hostName the host name of the request, without a port
 * @param pathPrefix begins and ends with a slash
 * @param resumable whether a stream may be resumed at another target after its last event
 * @param anonymous whether requests need no key
 * @param timeoutMillis the maximum time from a request to the end of its response
 * @param objectiveMillis the response time objective
 * @param maxAttempts how many targets may execute one request at most
 * @param priority the priority; 0 is the highest
 * @param gapObjectiveMillis the longest pause between two events that meets the objective
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
  /** A service and its weight among the services of a route. */
  public record WeightedService(ServiceName service, int weight) {}

  public Route {
    services = List.copyOf(services);
  }

  /** Returns whether a request may be executed again after an execution may have started. */
  public boolean mayRetry() {
    return kind == RouteKind.REPEATABLE || (kind == RouteKind.STREAM && resumable);
  }

  /** Returns the service of a request; {@code draw} is uniform in [0, 1). */
  public ServiceName chooseService(double draw) {
    double total = services.stream().mapToInt(WeightedService::weight).sum();
    double remainingWeight = draw * total;
    for (WeightedService candidate : services) {
      remainingWeight -= candidate.weight();
      if (remainingWeight < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
