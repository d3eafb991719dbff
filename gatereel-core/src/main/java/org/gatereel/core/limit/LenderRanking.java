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

/** Ranks hosts as lenders of requests to a target; those that did not answer are passed over. */
final class LenderRanking {
  /**
   * How long a host that did not answer is passed over. As long two hosts may lend for one target,
   * which adds as much as the limit allows in this time.
   */
  private static final long PASSED_OVER_MILLIS = 1_000;

  /** Ranks are computed anew where more targets than this were asked for since hosts changed. */
  private static final int MOST_KEPT = 1_000;

  private final CoreContext context;
  private final LenderDirectory directory;
  private final Map<Address, Long> passedOverUntil = new HashMap<>();
  private final Map<TargetId, List<Address>> ranks = new HashMap<>();
  private long ranksOf = -1;

  LenderRanking(CoreContext context, LenderDirectory directory) {
    this.context = context;
    this.directory = directory;
  }

  /** Returns the host that lends requests to a target; empty if that is this one. */
  Optional<Address> first(TargetId target, DataCentre dataCentre) {
    return ranked(target, dataCentre).stream()
        .filter(host -> isSelf(host) || !isPassedOver(host))
        .findFirst()
        .filter(host -> !isSelf(host));
  }

  /** Returns the host that lends in this one's place; empty if there is none. */
  Optional<Address> firstOther(TargetId target, DataCentre dataCentre) {
    return ranked(target, dataCentre).stream()
        .filter(host -> !isSelf(host) && !isPassedOver(host))
        .findFirst();
  }

  /** Returns among how many hosts a limit is to be divided by one that knows of no other. */
  int unknownHosts() {
    boolean knowsOthers = ranks.values().stream().anyMatch(hosts -> hosts.size() > 1);
    return knowsOthers ? 1 : directory.hosts();
  }

  private List<Address> ranked(TargetId target, DataCentre dataCentre) {
    if (ranksOf != directory.changes() || ranks.size() > MOST_KEPT) {
      ranks.clear();
      ranksOf = directory.changes();
    }
    return ranks.computeIfAbsent(target, any -> directory.lenders(dataCentre, target.toString()));
  }

  private boolean isSelf(Address host) {
    return host.equals(directory.self());
  }

  private boolean isPassedOver(Address host) {
    return passedOverUntil.getOrDefault(host, Long.MIN_VALUE) > context.now();
  }

  /** Passes a host over for a while, because it did not answer a question about a target. */
  void passOver(Address host, TargetId asked) {
    context.logEvent(EventCode.LIMIT_LENDER_SILENT, asked.toString(), "host=" + host);
    passedOverUntil.values().removeIf(until -> until <= context.now());
    passedOverUntil.put(host, context.now() + PASSED_OVER_MILLIS);
  }
}
