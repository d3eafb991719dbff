package org.gatereel.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.room.EngineLimits;
import org.gatereel.core.scheduling.Urgency;

/** One version of the operators' configuration, indexed for lookups; immutable. */
public final class Configuration {
  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();

  private final long version;
  private final InboundLimits limits;
  private final boolean requiresKeys;
  private final Map<String, List<Route>> routesByHostName;
  private final Map<ServiceName, ServiceConfiguration> services;
  private final Map<String, AccountConfiguration> accountsByKey;
  private final UrgencyRanks urgencyRanks;
  private final Map<ServiceName, Long> longestStreamObjectives;

  private Configuration(Builder builder) {
    version = builder.version;
    limits = builder.limits;
    requiresKeys = builder.requiresKeys;
    routesByHostName = new HashMap<>();
    for (Route route : builder.routes) {
      routesByHostName.computeIfAbsent(route.hostName(), host -> new ArrayList<>()).add(route);
    }
    routesByHostName.values().forEach(routes -> routes.sort(LONGEST_PREFIX_FIRST));
    services = Map.copyOf(builder.services);
    accountsByKey = new HashMap<>();
    for (AccountConfiguration account : builder.accounts) {
      account.keys().forEach(key -> accountsByKey.put(key, account));
    }
    urgencyRanks = new UrgencyRanks(builder.routes, builder.accounts);
    longestStreamObjectives = new HashMap<>();
    for (Route route : builder.routes) {
      if (route.kind() == RouteKind.STREAM) {
        route
            .services()
            .forEach(
                weighted ->
                    longestStreamObjectives.merge(
                        weighted.service(), route.objectiveMillis(), Math::max));
      }
    }
  }

  /** Returns a builder for a configuration of the given version. */
  public static Builder builder(long version) {
    return new Builder(version);
  }

  public long version() {
    return version;
  }

  public InboundLimits limits() {
    return limits;
  }

  /** Returns whether routes that are not anonymous require a key. */
  public boolean requiresKeys() {
    return requiresKeys;
  }

  /** Returns the route with the longest path prefix of {@code path} for a host name. */
  public Optional<Route> route(String hostName, String path) {
    return routesByHostName.getOrDefault(hostName, List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /** Returns the client account that holds a key. */
  public Optional<AccountConfiguration> account(String key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  public Optional<ServiceConfiguration> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the urgency of a request among all requests of its service. */
  public Urgency urgency(ServiceName service, Route route, Optional<AccountId> account) {
    return urgencyRanks.urgency(service, route, account);
  }

  /**
   * Returns what limits the engines of a service; empty if the memory of its engines is not
   * configured or no route for streams leads there.
   */
  public Optional<EngineLimits> engineLimits(ServiceName name) {
    Long objectiveMillis = longestStreamObjectives.get(name);
    return objectiveMillis == null
        ? Optional.empty()
        : service(name)
            .flatMap(ServiceConfiguration::engine)
            .map(engine -> new EngineLimits(engine.cacheTokens(), objectiveMillis));
  }

  /** Builds a configuration. */
  public static final class Builder {
    private final long version;
    private InboundLimits limits = InboundLimits.STANDARD;
    private boolean requiresKeys;
    private final List<Route> routes = new ArrayList<>();
    private final Map<ServiceName, ServiceConfiguration> services = new HashMap<>();
    private final List<AccountConfiguration> accounts = new ArrayList<>();

    private Builder(long version) {
      this.version = version;
    }

    public Builder limits(InboundLimits value) {
      limits = value;
      return this;
    }

    public Builder add(Route route) {
      routes.add(route);
      return this;
    }

    public Builder add(ServiceConfiguration service) {
      services.put(service.name(), service);
      return this;
    }

    /** Adds a client account and requires keys on routes that are not anonymous. */
    public Builder add(AccountConfiguration account) {
      accounts.add(account);
      return requireKeys();
    }

    /** Requires keys on routes that are not anonymous, even if no account has one. */
    public Builder requireKeys() {
      requiresKeys = true;
      return this;
    }

    public Configuration build() {
      return new Configuration(this);
    }
  }
}
