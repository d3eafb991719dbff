package org.gatereel.core.load;

import org.gatereel.core.internal.SharedFacts;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.statement.TargetFact;

/**
 * The facts that reports carry in addition to loads.
 *
 * @param poison observations of poison requests
 * @param targets what targets have announced
 */
record FactSources(SharedFacts<PoisonFact> poison, SharedFacts<TargetFact> targets) {
  static final FactSources NONE = new FactSources(SharedFacts.none(), SharedFacts.none());

  /** Merges the facts of a received report. */
  void merge(LoadReport report) {
    poison.learn(report.poison());
    targets.learn(report.targetFacts());
  }
}
