package org.gatereel.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;

/**
 * Selects the host that issues the tokens of a target; skips hosts that did not respond recently.
 */
final class IssuerRanking {
  /**
   * How long a host that did not respond is skipped. During this time two hosts may issue tokens
   * for one target, which adds at most one second of its limit.
   */
  private static final long UNRESPONSIVE_MILLIS = 1_000;

  /** The cache is cleared when it holds more targets than this. */
  private static final int MAX_CACHED_RANKINGS = 1_000;

  private final CoreContext context;
  private final IssuerDirectory directory;
  private final Map<Address, Long> unresponsiveUntil = new HashMap<>();
  private final Map<TargetId, List<Address>> rankings = new HashMap<>();
  private long rankingsVersion = -1;

  IssuerRanking(CoreContext context, IssuerDirectory directory) {
    this.context = context;
    this.directory = directory;
  }

  /** Returns the host that issues the tokens of a target; empty if that is this host. */
  Optional<Address> issuerFor(TargetId target, DataCentre dataCentre) {
    return ranked(target, dataCentre).stream()
        .filter(host -> isSelf(host) || !isUnresponsive(host))
        .findFirst()
        .filter(host -> !isSelf(host));
  }

  /**
   * Returns the host that issues the tokens of a target instead of this host; empty if there is
   * none.
   */
  Optional<Address> otherIssuerFor(TargetId target, DataCentre dataCentre) {
    return ranked(target, dataCentre).stream()
        .filter(host -> !isSelf(host) && !isUnresponsive(host))
        .findFirst();
  }

  /**
   * Returns by how much a starting host divides a limit: 1 if this host knows other hosts, else the
   * estimated number of hosts, which may all issue tokens for the same limit.
   */
  int limitDivisor() {
    boolean knowsOthers = rankings.values().stream().anyMatch(hosts -> hosts.size() > 1);
    return knowsOthers ? 1 : directory.estimatedHosts();
  }

  private List<Address> ranked(TargetId target, DataCentre dataCentre) {
    if (rankingsVersion != directory.version() || rankings.size() > MAX_CACHED_RANKINGS) {
      rankings.clear();
      rankingsVersion = directory.version();
    }
    return rankings.computeIfAbsent(
        target, any -> directory.rankedIssuers(dataCentre, target.toString()));
  }

  private boolean isSelf(Address host) {
    return host.equals(directory.self());
  }

  private boolean isUnresponsive(Address host) {
    return unresponsiveUntil.getOrDefault(host, Long.MIN_VALUE) > context.now();
  }

  /** Skips a host for a while because it did not respond to a token request. */
  void markUnresponsive(Address host, TargetId target) {
    context.logEvent(EventCode.LIMIT_LENDER_SILENT, target.toString(), "host=" + host);
    unresponsiveUntil.values().removeIf(until -> until <= context.now());
    unresponsiveUntil.put(host, context.now() + UNRESPONSIVE_MILLIS);
  }
}
