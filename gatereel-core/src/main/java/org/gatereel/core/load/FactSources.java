package org.gatereel.core.load;

import org.gatereel.core.internal.SharedFacts;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.statement.LimitFact;

/**
 * The facts that reports carry beside loads.
 *
 * @param poison requests under which targets end
 * @param limits how many requests targets take
 */
record FactSources(SharedFacts<PoisonFact> poison, SharedFacts<LimitFact> limits) {
  static final FactSources NONE = new FactSources(SharedFacts.none(), SharedFacts.none());

  /** Takes in what a report carries. */
  void learn(LoadReport report) {
    poison.learn(report.poison());
    limits.learn(report.limits());
  }
}
