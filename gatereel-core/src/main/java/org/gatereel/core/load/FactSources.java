package org.gatereel.core.load;

import org.gatereel.core.internal.SharedFacts;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.statement.TargetFact;

/**
 * The facts that reports carry beside loads.
 *
 * @param poison requests under which targets end
 * @param targets what targets have said
 */
record FactSources(SharedFacts<PoisonFact> poison, SharedFacts<TargetFact> targets) {
  static final FactSources NONE = new FactSources(SharedFacts.none(), SharedFacts.none());

  /** Takes in what a report carries. */
  void merge(LoadReport report) {
    poison.learn(report.poison());
    targets.learn(report.targetFacts());
  }
}
