package org.gatereel.core.overload;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.target.TargetRegistry;

/** The demand at all hosts: this host's own, and that which others report. */
final class OverallDemand {
  /** How long a service counts as full after one of its targets rejected a request as full. */
  private static final long FULL_MILLIS = 1_000;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final LoadExchange loads;
  private final Demand own = new Demand();

  OverallDemand(CoreContext context, TargetRegistry targets, LoadExchange loads) {
    this.context = context;
    this.targets = targets;
    this.loads = loads;
  }

  /** Counts an arriving request. */
  void count(DemandKey key) {
    own.count(key, context.now());
  }

  /** Counts an arriving request under its rank of urgency also. */
  void countRank(ServiceName service, int rank) {
    own.countRank(service, rank, context.now());
  }

  /** Returns the requests per second that arrive at all hosts under a key. */
  double perSecond(DemandKey key) {
    return own.perSecond(key, context.now()) + others(key);
  }

  /** Returns the value that all other hosts together report for a key; 0 without reports. */
  double others(DemandKey key) {
    return loads.othersDemand().getOrDefault(key, 0.0);
  }

  /** Returns the requests per second at all hosts for a service, by priority and account. */
  Map<DemandKey, Double> byAccount(ServiceName service) {
    Map<DemandKey, Double> sums = new HashMap<>();
    addPerAccount(loads.othersDemand(), service, sums);
    addPerAccount(own.rates(context.now()), service, sums);
    return sums;
  }

  private static void addPerAccount(
      Map<DemandKey, Double> rates, ServiceName service, Map<DemandKey, Double> sums) {
    rates.forEach(
        (key, rate) -> {
          if (key.isPerAccount() && key.service().equals(service)) {
            sums.merge(key, rate, Double::sum);
          }
        });
  }

  /**
   * Returns whether a target of a service has recently rejected a request of any host as full.
   *
   * <p>A host of many sends a service only some of its requests, and may see no rejection while its
   * targets are full.
   */
  boolean isFull(ServiceName service) {
    return wasRejected(service) || others(DemandKey.fullAt(service)) > 0;
  }

  private boolean wasRejected(ServiceName service) {
    long since = context.now() - FULL_MILLIS;
    return targets.notLeaving(service).stream()
        .anyMatch(target -> target.lastRejectionAt() > since);
  }

  /**
   * Returns what other hosts are to know of this host's demand.
   *
   * @param isBusy whether the rates of single accounts of a service are included
   */
  Map<DemandKey, Double> toReport(Predicate<ServiceName> isBusy) {
    Map<DemandKey, Double> reported =
        own.ratesToReport(isBusy, loads.othersDemand(), context.now());
    List<ServiceName> services =
        reported.keySet().stream().map(DemandKey::service).distinct().toList();
    services.stream()
        .filter(this::wasRejected)
        .forEach(service -> reported.put(DemandKey.fullAt(service), 1.0));
    return reported;
  }
}
