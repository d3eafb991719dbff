package org.gatereel.core.choice;

import java.util.Locale;
import java.util.StringJoiner;
import org.gatereel.core.target.TargetState;

/**
 * A selected target.
 *
 * @param reasons the terms with a non-zero cost as {@code TERM:cost}, for the log
 */
public record TargetChoice(TargetState target, String reasons) {
  private static final String NONE = "-";

  /** Returns a choice without alternatives, which has no reasons. */
  public static TargetChoice only(TargetState target) {
    return new TargetChoice(target, NONE);
  }

  static TargetChoice of(Candidate candidate) {
    StringJoiner reasons = new StringJoiner(",").setEmptyValue(NONE);
    for (CostTerm term : CostTerm.values()) {
      double cost = term.isReported() ? term.cost(candidate) : 0;
      if (cost != 0) {
        reasons.add(term + ":" + String.format(Locale.ROOT, "%.1f", cost));
      }
    }
    return new TargetChoice(candidate.target(), reasons.toString());
  }
}
