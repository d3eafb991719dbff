package org.gatereel.core.forward;

import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.configuration.AccountConfiguration;
import org.gatereel.core.configuration.Configuration;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.AccountId;

/**
 * Holds the newest configuration that this host has received, and the time at which it was last
 * confirmed to be current.
 *
 * <p>The confirmation time is the time on the steady clock at which the latest successful query was
 * sent, so every change acknowledged before then is known. The version never decreases within a
 * process.
 */
public final class ConfigurationHolder {
  /** Covers rounding, and the time between the check and sending the request to a target. */
  private static final long REVOCATION_MARGIN_MILLIS = 150;

  private final CoreContext context;
  private final Bounds bounds;
  private Optional<Configuration> current = Optional.empty();
  private long confirmedAt = Long.MIN_VALUE / 2;
  private boolean staleReported;

  /**
   * How old the last confirmation may be.
   *
   * @param strictRevocation whether a host that cannot confirm the configuration must reject keys
   * @param revocationMillis the age from which keys are rejected
   * @param freshMillis the age up to which a route or key may be reported as unknown
   */
  public record Bounds(boolean strictRevocation, long revocationMillis, long freshMillis) {}

  /** The result of looking up the route and the account of a request. */
  public sealed interface Lookup {
    record Allowed(Configuration configuration, Route route, Optional<AccountId> account)
        implements Lookup {}

    record Denied(Rejection rejection) implements Lookup {}
  }

  public ConfigurationHolder(CoreContext context, Bounds bounds) {
    this.context = context;
    this.bounds = bounds;
  }

  /** Returns the version held, or -1 if there is none. */
  public long version() {
    return current.map(Configuration::version).orElse(-1L);
  }

  public Optional<Configuration> current() {
    return current;
  }

  /** Returns the time since the last confirmation, in milliseconds. */
  public long ageMillis() {
    return context.nowIncludingSuspensions() - confirmedAt;
  }

  /** Returns the time since the last confirmation, in milliseconds; empty without configuration. */
  public OptionalLong ageIfKnown() {
    return current.isPresent() ? OptionalLong.of(ageMillis()) : OptionalLong.empty();
  }

  /**
   * Updates the configuration from the platform's newest response, to a query sent at {@code
   * queriedAt}. An older version, which a store shows after it has returned from a copy, is
   * ignored; that no newer one is there is confirmed nevertheless.
   */
  public void update(Configuration configuration, long queriedAt) {
    if (configuration.version() < version()) {
      context.logEvent(
          EventCode.CONFIGURATION_IGNORED,
          Long.toString(configuration.version()),
          "known=" + version());
      confirm(version(), queriedAt);
      return;
    }
    if (configuration.version() > version()) {
      current = Optional.of(configuration);
      context.logEvent(
          EventCode.CONFIGURATION_IN_FORCE,
          Long.toString(configuration.version()),
          "ageMillis=" + (context.nowIncludingSuspensions() - queriedAt));
    }
    confirm(configuration.version(), queriedAt);
  }

  /**
   * Records that {@code version} was still current when the platform was queried at {@code
   * queriedAt}.
   */
  public void confirm(long version, long queriedAt) {
    if (version != version()) {
      return;
    }
    confirmedAt = Math.max(confirmedAt, queriedAt);
    if (staleReported && acceptsKeys()) {
      staleReported = false;
      context.logEvent(
          EventCode.CONFIGURATION_PROVED, Long.toString(version), "ageMillis=" + ageMillis());
    }
  }

  /** Returns whether requests with keys may be forwarded now. */
  public boolean acceptsKeys() {
    if (current.isEmpty()) {
      return false;
    }
    return !bounds.strictRevocation()
        || ageMillis() < bounds.revocationMillis() - REVOCATION_MARGIN_MILLIS;
  }

  /** Returns whether the configuration is recent enough to report a route or key as unknown. */
  private boolean isFresh() {
    return ageMillis() < bounds.freshMillis();
  }

  /** Returns the route and the account of a new request, or the reason for its rejection. */
  public Lookup lookUp(String hostName, String path, Optional<String> key) {
    if (current.isEmpty()) {
      return new Lookup.Denied(Rejection.NO_CONFIGURATION);
    }
    Configuration configuration = current.get();
    Optional<Route> route = configuration.route(hostName, path);
    if (route.isEmpty()) {
      return unknown(Rejection.NO_ROUTE);
    }
    if (route.get().anonymous() || !configuration.requiresKeys()) {
      return new Lookup.Allowed(configuration, route.get(), Optional.empty());
    }
    if (key.isEmpty()) {
      return new Lookup.Denied(Rejection.UNKNOWN_KEY);
    }
    if (!acceptsKeys()) {
      reportStale();
      return new Lookup.Denied(Rejection.STALE_CONFIGURATION);
    }
    Optional<AccountConfiguration> account = configuration.account(key.get());
    if (account.isEmpty()) {
      return unknown(Rejection.UNKNOWN_KEY);
    }
    return new Lookup.Allowed(configuration, route.get(), Optional.of(account.get().id()));
  }

  private Lookup unknown(Rejection rejection) {
    return new Lookup.Denied(isFresh() ? rejection : Rejection.STALE_CONFIGURATION);
  }

  private void reportStale() {
    if (!staleReported) {
      staleReported = true;
      context.logEvent(
          EventCode.CONFIGURATION_STALE, Long.toString(version()), "ageMillis=" + ageMillis());
    }
  }
}
