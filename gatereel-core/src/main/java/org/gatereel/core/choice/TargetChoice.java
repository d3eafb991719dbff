package org.gatereel.core.choice;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import org.gatereel.core.target.TargetState;

/**
 * A target that was chosen, and what each consideration said of it.
 *
 * @param costs empty if there was nothing to choose
 */
public record TargetChoice(TargetState target, Map<Consideration, Double> costs) {
  /** Takes a target for which there is no alternative. */
  public static TargetChoice only(TargetState target) {
    return new TargetChoice(target, Map.of());
  }

  static TargetChoice of(Candidate candidate) {
    Map<Consideration, Double> costs = new EnumMap<>(Consideration.class);
    for (Consideration consideration : Consideration.values()) {
      costs.put(consideration, consideration.cost(candidate));
    }
    return new TargetChoice(candidate.target(), costs);
  }

  double cost() {
    return costs.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Returns the considerations that had something to say, for the log. */
  public String reasons() {
    StringJoiner reasons = new StringJoiner(",").setEmptyValue("-");
    costs.forEach(
        (consideration, cost) -> {
          if (cost != 0 && consideration != Consideration.JITTER) {
            reasons.add(consideration + ":" + String.format(Locale.ROOT, "%.1f", cost));
          }
        });
    return reasons.toString();
  }
}
