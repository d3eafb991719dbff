package org.gatereel.core.overload;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.ServiceName;

/**
 * Admission credits and waiting requests of each account at this host during overload.
 *
 * <p>Each arriving request adds a fraction of a credit to its account, according to its fair share.
 * Sending a request costs one credit.
 */
final class AdmissionCredits {
  private final Map<DemandKey, Double> credits = new HashMap<>();
  private final Map<DemandKey, Integer> waiting = new HashMap<>();

  void addCredit(DemandKey key, double ratio) {
    credits.merge(key, ratio, Double::sum);
  }

  /** Takes one whole credit; returns false if there is none. */
  boolean tryAcquire(DemandKey key) {
    double available = credits.getOrDefault(key, 0.0);
    if (available < 1) {
      return false;
    }
    credits.put(key, available - 1);
    return true;
  }

  /** Drops the credits of a service, once its overload has ended. */
  void clear(ServiceName service) {
    credits.keySet().removeIf(key -> key.service().equals(service));
  }

  void beginWaiting(DemandKey key) {
    waiting.merge(key, 1, Integer::sum);
  }

  void endWaiting(DemandKey key) {
    waiting.computeIfPresent(key, (any, count) -> count > 1 ? count - 1 : null);
  }

  boolean hasWaiting(DemandKey key) {
    return waiting.containsKey(key);
  }

  /** Returns how many requests wait at this host, by service. */
  Map<ServiceName, Integer> waitingByService() {
    Map<ServiceName, Integer> counts = new HashMap<>();
    waiting.forEach((key, count) -> counts.merge(key.service(), count, Integer::sum));
    return counts;
  }
}
