package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * How a route's requests stand among those of its service.
 *
 * @param routes how many routes the service has requests on
 * @param routeRequests those of the route
 * @param serviceRequests those of all routes
 */
record RouteTraffic(int routes, long routeRequests, long serviceRequests) {
  /** Below so many requests shares of routes are chance. */
  private static final long ENOUGH_REQUESTS = 30;

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
   * Returns by how much a route's share is above the mean, so that each route shows the new version
   * as many requests: a version may be bad on a rare one alone. The sum over all routes stays the
   * same.
   */
  double boost() {
    if (serviceRequests < ENOUGH_REQUESTS || routes == 0) {
      return 1;
    }
    return (double) serviceRequests / (routes * Math.max(1, routeRequests));
  }
}
