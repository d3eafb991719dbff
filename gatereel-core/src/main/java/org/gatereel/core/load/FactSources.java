package org.gatereel.core.load;

import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.statement.TargetFact;

/**
 * The facts that reports carry beside loads.
 *
 * @param poison requests under which targets end
 * @param targets what targets have said
 */
record FactSources(GossipFacts<PoisonFact> poison, GossipFacts<TargetFact> targets) {
  static final FactSources NONE = new FactSources(GossipFacts.none(), GossipFacts.none());

  /** Takes in what a report carries. */
  void learn(LoadReport report) {
    poison.merge(report.poison());
    targets.merge(report.targetFacts());
  }
}
