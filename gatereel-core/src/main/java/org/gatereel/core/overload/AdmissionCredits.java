package org.gatereel.core.overload;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.ServiceName;

/**
 * The turns that accounts have at this host while a service is overloaded, and who waits for one.
 *
 * <p>Each arrival earns its account the part of a turn that its share allows; a whole one sends a
 * request, and one that waits goes before one that arrives.
 */
final class AdmissionCredits {
  private final Map<DemandKey, Double> earned = new HashMap<>();
  private final Map<DemandKey, Integer> waiting = new HashMap<>();

  void addCredit(DemandKey key, double part) {
    earned.merge(key, part, Double::sum);
  }

  /** Takes a whole turn; returns whether there was one. */
  boolean tryAcquire(DemandKey key) {
    double turns = earned.getOrDefault(key, 0.0);
    if (turns < 1) {
      return false;
    }
    earned.put(key, turns - 1);
    return true;
  }

  /** Forgets what was earned in an overload that is over. */
  void clear(ServiceName service) {
    earned.keySet().removeIf(key -> key.service().equals(service));
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

  /** Returns how many requests wait here, by the service that they wait for. */
  Map<ServiceName, Integer> waitingByService() {
    Map<ServiceName, Integer> counts = new HashMap<>();
    waiting.forEach((key, count) -> counts.merge(key.service(), count, Integer::sum));
    return counts;
  }
}
