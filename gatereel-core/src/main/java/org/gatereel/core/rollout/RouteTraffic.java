package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * The traffic of a route in relation to its service.
 *
 * @param routes how many routes the service has requests on
 * @param routeRequests the requests on the route
 * @param serviceRequests the requests on all routes
 */
record RouteTraffic(int routes, long routeRequests, long serviceRequests) {
  /** With fewer requests, the shares of routes are random and are not compared. */
  private static final long MIN_REQUESTS = 30;

  static RouteTraffic of(String route, Map<EvidenceKey, ResponseTally> evidence) {
    Map<String, Long> byRoute = new HashMap<>();
    evidence.forEach(
        (key, tally) -> {
          if (key.signal() == Signal.SENT) {
            byRoute.merge(key.route(), tally.responses(), Long::sum);
          }
        });
    long all = byRoute.values().stream().mapToLong(Long::longValue).sum();
    return new RouteTraffic(byRoute.size(), byRoute.getOrDefault(route, 0L), all);
  }

  /**
   * Returns the factor for the canary ratio of the route, which is higher the fewer requests the
   * route has. The new version then receives equally many requests on each route, and as many in
   * total as without the factor.
   */
  double boost() {
    if (serviceRequests < MIN_REQUESTS || routes == 0) {
      return 1;
    }
    return (double) serviceRequests / (routes * Math.max(1, routeRequests));
  }
}
