package org.gatereel.core.overload;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.gatereel.core.load.DemandKey;

/**
 * Who gets how much of a service that is asked for more than it can do: max-min fairness.
 *
 * <p>The load that it answers: one account sends many times its usual. Who asks for less than an
 * equal part gets all of it; what these leave is shared alike by the others. More urgent ranks come
 * first, so that no request is served in place of a more urgent one.
 */
final class FairShares {
  private final Map<Integer, Double> levels = new TreeMap<>();

  private FairShares() {}

  /** Shares {@code perSecond} requests among those that ask for them. */
  static FairShares of(double perSecond, Map<DemandKey, Double> demand) {
    FairShares shares = new FairShares();
    Map<Integer, Map<DemandKey, Double>> byRank =
        demand.entrySet().stream()
            .collect(
                Collectors.groupingBy(
                    entry -> entry.getKey().priority(),
                    TreeMap::new,
                    Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
    double left = perSecond;
    for (var rank : byRank.entrySet()) {
      Collection<Double> asked = rank.getValue().values();
      shares.levels.put(rank.getKey(), level(left, asked));
      left = Math.max(0, left - asked.stream().mapToDouble(Double::doubleValue).sum());
    }
    return shares;
  }

  /** Returns the most that one of those who ask may get, so that all together get what is there. */
  private static double level(double available, Collection<Double> asked) {
    double[] rising = asked.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    double left = available;
    for (int index = 0; index < rising.length; index++) {
      double equal = left / (rising.length - index);
      if (rising[index] > equal) {
        return equal;
      }
      left -= rising[index];
    }
    return Double.POSITIVE_INFINITY;
  }

  /** Returns the part of somebody's requests that is served, from 0 to 1. */
  double admittedRatio(DemandKey key, double asked) {
    double level = levels.getOrDefault(key.priority(), Double.POSITIVE_INFINITY);
    return asked <= level ? 1 : level / asked;
  }
}
