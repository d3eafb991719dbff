package org.gatereel.core.choice;

import java.util.Locale;
import java.util.StringJoiner;
import org.gatereel.core.target.TargetState;

/**
 * A target that was chosen.
 *
 * @param reasons what each consideration that had something to say said of it, for the log
 */
public record TargetChoice(TargetState target, String reasons) {
  private static final String NONE = "-";

  /** Takes a target for which there is no alternative. */
  public static TargetChoice only(TargetState target) {
    return new TargetChoice(target, NONE);
  }

  static TargetChoice of(Candidate candidate) {
    StringJoiner reasons = new StringJoiner(",").setEmptyValue(NONE);
    for (CostTerm consideration : CostTerm.values()) {
      double cost = consideration.isReported() ? consideration.cost(candidate) : 0;
      if (cost != 0) {
        reasons.add(consideration + ":" + String.format(Locale.ROOT, "%.1f", cost));
      }
    }
    return new TargetChoice(candidate.target(), reasons.toString());
  }
}
