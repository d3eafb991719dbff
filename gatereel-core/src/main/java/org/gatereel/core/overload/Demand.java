package org.gatereel.core.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.ServiceName;

/** What this host is asked for, by service, rank and account. */
final class Demand {
  /** One request in twenty seconds: below it, an account asks for nothing that matters. */
  private static final double LEAST_PER_SECOND = 0.05;

  /** Rates travel to the hundredth. */
  private static final double PARTS = 100;

  private final Map<DemandKey, ArrivalRate> rates = new HashMap<>();

  void count(DemandKey key, long now) {
    rate(key).count(now);
    rate(DemandKey.allOf(key.service())).count(now);
  }

  private ArrivalRate rate(DemandKey key) {
    return rates.computeIfAbsent(key, any -> new ArrivalRate());
  }

  /** Returns how many requests a second come here under a key. */
  double perSecond(DemandKey key, long now) {
    ArrivalRate rate = rates.get(key);
    return rate == null ? 0 : rate.perSecond(now);
  }

  /**
   * Returns what other hosts are told, in requests a second, and forgets who asks no more.
   *
   * @param busy the services whose accounts are told one by one
   */
  Map<DemandKey, Double> ratesToReport(Predicate<ServiceName> busy, long now) {
    Map<DemandKey, Double> told = new HashMap<>();
    Map<ServiceName, Boolean> known = new HashMap<>();
    rates.values().removeIf(rate -> rate.perSecond(now) < LEAST_PER_SECOND);
    rates.forEach(
        (key, rate) -> {
          if (!key.isPerAccount() || known.computeIfAbsent(key.service(), busy::test)) {
            told.put(key, Math.round(rate.perSecond(now) * PARTS) / PARTS);
          }
        });
    return told;
  }
}
