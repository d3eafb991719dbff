package org.gatereel.core.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleBiFunction;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.ServiceName;

/** The arrival rates at this host by service, priority and account. */
final class Demand {
  /** One request in 20 seconds. Lower rates do not affect fair shares and are dropped. */
  private static final double MIN_PER_SECOND = 0.05;

  /** Rates are rounded to hundredths. */
  private static final double ROUNDING_FACTOR = 100;

  private final Map<DemandKey, ArrivalRate> rates = new HashMap<>();

  void count(DemandKey key, long now) {
    rate(key).count(now);
    rate(DemandKey.allOf(key.service())).count(now);
  }

  /** Counts a request under its rank of urgency also. */
  void countRank(ServiceName service, int rank, long now) {
    rate(DemandKey.ofRank(service, rank)).count(now);
  }

  private ArrivalRate rate(DemandKey key) {
    return rates.computeIfAbsent(key, any -> new ArrivalRate());
  }

  /** Returns the requests per second that arrive at this host under a key. */
  double perSecond(DemandKey key, long now) {
    ArrivalRate rate = rates.get(key);
    return rate == null ? 0 : rate.perSecond(now);
  }

  /** Returns the requests per second that arrive at this host, by key, without negligible ones. */
  Map<DemandKey, Double> rates(long now) {
    return select(any -> true, (key, rate) -> rate.perSecond(now), now);
  }

  /**
   * Returns the rates to report to other hosts, in requests per second, and drops negligible ones.
   *
   * @param isBusy whether the rates of single accounts of a service are included
   * @param others the rates at all other hosts
   */
  Map<DemandKey, Double> ratesToReport(
      Predicate<ServiceName> isBusy, Map<DemandKey, Double> others, long now) {
    return select(
        isBusy, (key, rate) -> rate.perSecondToReport(now, others.getOrDefault(key, 0.0)), now);
  }

  private Map<DemandKey, Double> select(
      Predicate<ServiceName> isBusy, ToDoubleBiFunction<DemandKey, ArrivalRate> value, long now) {
    Map<DemandKey, Double> selected = new HashMap<>();
    Map<ServiceName, Boolean> busyByService = new HashMap<>();
    rates.values().removeIf(rate -> rate.perSecond(now) < MIN_PER_SECOND);
    rates.forEach(
        (key, rate) -> {
          if (!key.isPerAccount() || busyByService.computeIfAbsent(key.service(), isBusy::test)) {
            selected.put(key, rounded(value.applyAsDouble(key, rate)));
          }
        });
    return selected;
  }

  private static double rounded(double perSecond) {
    return Math.round(perSecond * ROUNDING_FACTOR) / ROUNDING_FACTOR;
  }
}
