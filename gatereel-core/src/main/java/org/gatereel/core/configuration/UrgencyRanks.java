package org.gatereel.core.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.scheduling.Urgency;

/**
 * Ranks the requests of each service by the priorities of accounts and routes.
 *
 * <p>The priority of the account decides; among accounts of the same priority, that of the route
 * does. Services whose routes all have the same priority are not ranked.
 */
final class UrgencyRanks {
  private final Map<ServiceName, List<Integer>> routePriorities = new HashMap<>();
  private final Map<AccountId, Integer> accountPriorities = new HashMap<>();
  private final List<Integer> distinctAccountPriorities;

  UrgencyRanks(List<Route> routes, List<AccountConfiguration> accounts) {
    Map<ServiceName, TreeSet<Integer>> ascending = new HashMap<>();
    for (Route route : routes) {
      for (Route.WeightedService weighted : route.services()) {
        ascending.computeIfAbsent(weighted.service(), any -> new TreeSet<>()).add(route.priority());
      }
    }
    ascending.forEach((service, values) -> routePriorities.put(service, List.copyOf(values)));
    accounts.forEach(account -> accountPriorities.put(account.id(), account.priority()));
    distinctAccountPriorities = List.copyOf(new TreeSet<>(accountPriorities.values()));
  }

  /** Returns the urgency of a request; one without an account ranks as the first account does. */
  Urgency urgency(ServiceName service, Route route, Optional<AccountId> account) {
    List<Integer> priorities = routePriorities.getOrDefault(service, List.of());
    if (priorities.size() < 2) {
      return Urgency.UNRANKED;
    }
    int accountRank =
        account.map(accountPriorities::get).map(distinctAccountPriorities::indexOf).orElse(0);
    int accountRanks = Math.max(1, distinctAccountPriorities.size());
    return new Urgency(
        accountRank * priorities.size() + priorities.indexOf(route.priority()),
        accountRanks * priorities.size());
  }
}
