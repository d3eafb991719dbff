package org.gatereel.core.overload;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.gatereel.core.load.DemandKey;

/**
 * Divides the capacity of an overloaded service among accounts by max-min fairness.
 *
 * <p>Capacity is given to higher priorities first. Within a priority, an account that requests less
 * than an equal share gets all of it, and the others divide the rest equally.
 */
final class FairShares {
  private final Map<Integer, Double> maxRateByPriority = new TreeMap<>();

  private FairShares() {}

  /** Divides {@code perSecond} among the accounts in {@code demand} (requests per second). */
  static FairShares of(double perSecond, Map<DemandKey, Double> demand) {
    FairShares shares = new FairShares();
    Map<Integer, Map<DemandKey, Double>> byPriority =
        demand.entrySet().stream()
            .collect(
                Collectors.groupingBy(
                    entry -> entry.getKey().priority(),
                    TreeMap::new,
                    Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
    double left = perSecond;
    for (var priority : byPriority.entrySet()) {
      Collection<Double> requested = priority.getValue().values();
      shares.maxRateByPriority.put(priority.getKey(), maxRate(left, requested));
      left = Math.max(0, left - requested.stream().mapToDouble(Double::doubleValue).sum());
    }
    return shares;
  }

  /** Returns the highest rate per account at which all accounts together stay within capacity. */
  private static double maxRate(double available, Collection<Double> requested) {
    double[] ascending = requested.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    double left = available;
    for (int index = 0; index < ascending.length; index++) {
      double equal = left / (ascending.length - index);
      if (ascending[index] > equal) {
        return equal;
      }
      left -= ascending[index];
    }
    return Double.POSITIVE_INFINITY;
  }

  /** Returns the ratio of the requests under a key that may be served, from 0 to 1. */
  double admittedRatio(DemandKey key, double requestedPerSecond) {
    double maxRate = maxRateByPriority.getOrDefault(key.priority(), Double.POSITIVE_INFINITY);
    return requestedPerSecond <= maxRate ? 1 : maxRate / requestedPerSecond;
  }
}
