package org.gatereel.core.forward;

import java.util.Optional;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.AccountId;

/**
 * The newest configuration that this host has seen, and the moment up to which it is proved to be
 * the one in force.
 *
 * <p>The proof's moment is when the question was sent that the platform answered, on the steady
 * clock: what was acknowledged before then is known here. A configuration never goes back to an
 * earlier version within a process.
 */
public final class ConfigurationKeeper {
  /** Covers rounding, and the time between the check and the request's way to a target. */
  private static final long REVOCATION_MARGIN_MILLIS = 150;

  private final CoreContext context;
  private final Bounds bounds;
  private Optional<Configuration> current = Optional.empty();
  private long provenAt = Long.MIN_VALUE / 2;
  private boolean freshnessReported;

  /**
   * How old a proof may be.
   *
   * @param strictRevocation whether a host out of touch must stop taking keys
   * @param revocationMillis the age from which keys are not taken any more
   * @param freshMillis the age up to which a route or key may be called unknown
   */
  public record Bounds(boolean strictRevocation, long revocationMillis, long freshMillis) {}

  /** The outcome of looking a request up. */
  public sealed interface Lookup {
    /** The request may be forwarded. */
    record Allowed(Configuration configuration, Route route, Optional<AccountId> account)
        implements Lookup {}

    /** The request is to be refused. */
    record Denied(Refusal refusal) implements Lookup {}
  }

  public ConfigurationKeeper(CoreContext context, Bounds bounds) {
    this.context = context;
    this.bounds = bounds;
  }

  /** Returns the version known here, or -1 if none is. */
  public long version() {
    return current.map(Configuration::version).orElse(-1L);
  }

  public Optional<Configuration> current() {
    return current;
  }

  /** Returns how long ago the configuration was proved to be in force, in milliseconds. */
  public long ageMillis() {
    return context.nowIncludingSuspensions() - provenAt;
  }

  /** Takes in what the platform answered to a question sent at {@code askedAt}. */
  public void learn(Configuration configuration, long askedAt) {
    if (configuration.version() < version()) {
      context.logEvent(
          EventCode.CONFIGURATION_IGNORED,
          Long.toString(configuration.version()),
          "known=" + version());
      return;
    }
    if (configuration.version() > version()) {
      current = Optional.of(configuration);
      context.logEvent(
          EventCode.CONFIGURATION_IN_FORCE,
          Long.toString(configuration.version()),
          "ageMillis=" + (context.nowIncludingSuspensions() - askedAt));
    }
    confirm(configuration.version(), askedAt);
  }

  /** Notes that the platform still had {@code version} when it was asked at {@code askedAt}. */
  public void confirm(long version, long askedAt) {
    if (version != version()) {
      return;
    }
    provenAt = Math.max(provenAt, askedAt);
    if (freshnessReported && takesKeys()) {
      freshnessReported = false;
      context.logEvent(
          EventCode.CONFIGURATION_PROVED, Long.toString(version), "ageMillis=" + ageMillis());
    }
  }

  /** Returns whether requests with keys may be forwarded now. */
  public boolean takesKeys() {
    if (current.isEmpty()) {
      return false;
    }
    return !bounds.strictRevocation()
        || ageMillis() < bounds.revocationMillis() - REVOCATION_MARGIN_MILLIS;
  }

  /** Returns whether a route or key that is unknown here is unknown everywhere. */
  private boolean isFresh() {
    return ageMillis() < bounds.freshMillis();
  }

  /** Looks a request up that has just arrived. */
  public Lookup find(String hostName, String path, Optional<String> key) {
    if (current.isEmpty()) {
      return new Lookup.Denied(Refusal.NO_CONFIGURATION);
    }
    Configuration configuration = current.get();
    Optional<Route> route = configuration.route(hostName, path);
    if (route.isEmpty()) {
      return unknown(Refusal.NO_ROUTE);
    }
    if (route.get().open() || !configuration.keysNeeded()) {
      return new Lookup.Allowed(configuration, route.get(), Optional.empty());
    }
    if (key.isEmpty()) {
      return new Lookup.Denied(Refusal.UNKNOWN_KEY);
    }
    if (!takesKeys()) {
      reportStale();
      return new Lookup.Denied(Refusal.STALE_CONFIGURATION);
    }
    Optional<AccountPlan> account = configuration.account(key.get());
    if (account.isEmpty()) {
      return unknown(Refusal.UNKNOWN_KEY);
    }
    return new Lookup.Allowed(configuration, route.get(), Optional.of(account.get().id()));
  }

  private Lookup unknown(Refusal refusal) {
    return new Lookup.Denied(isFresh() ? refusal : Refusal.STALE_CONFIGURATION);
  }

  private void reportStale() {
    if (!freshnessReported) {
      freshnessReported = true;
      context.logEvent(
          EventCode.CONFIGURATION_STALE, Long.toString(version()), "ageMillis=" + ageMillis());
    }
  }
}
