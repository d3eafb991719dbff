package org.gatereel.core.load;

import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.statement.TargetFact;

/**
 * The facts that reports carry in addition to loads.
 *
 * @param poison observations of poison requests
 * @param targets what targets have announced
 */
record FactSources(GossipFacts<PoisonFact> poison, GossipFacts<TargetFact> targets) {
  static final FactSources NONE = new FactSources(GossipFacts.none(), GossipFacts.none());

  /** Merges the facts of a received report. */
  void merge(LoadReport report) {
    poison.merge(report.poison());
    targets.merge(report.targetFacts());
  }
}
