package org.gatereel.core.load;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;
import org.gatereel.core.statement.TargetFact;

/** What one receiver was sent, and what has changed since. */
final class SentContent {
  private final SentValues<TargetId, TargetLoad> loads =
      new SentValues<>(TargetLoad.NONE, TargetLoad::differenceTo);
  private final SentValues<DemandKey, Double> demand =
      new SentValues<>(0.0, DemandKey::relativeDifference);
  private final SentValues<EvidenceKey, ResponseTally> evidence =
      new SentValues<>(ResponseTally.NONE, (sent, current) -> sent.equals(current) ? 0 : 1);
  private final SentTimes times = new SentTimes();
  private final SentFacts<PoisonFact> poisonFacts;
  private final SentFacts<TargetFact> targetFacts;

  SentContent(LoadScope scope) {
    List<GossipFacts.Priority> priorities = scope.factPriorities();
    this.poisonFacts = new SentFacts<>(priorities);
    this.targetFacts = new SentFacts<>(priorities);
  }

  /** Sends everything again, because the receiver has discarded it. */
  void restart() {
    loads.restart();
    demand.restart();
    evidence.restart();
    times.restart();
    poisonFacts.restart();
    targetFacts.restart();
  }

  /**
   * Returns the changes since the last report.
   *
   * @param allDemand whether the report is to hold all demand and evidence
   */
  Changes changes(LoadSums sums, FactSources facts, boolean allDemand, long now) {
    if (allDemand) {
      demand.restart();
      evidence.restart();
    }
    return new Changes(
        loads.changedKeys(sums.loads(), now),
        allDemand ? sums.demand().keySet() : demand.changedKeys(sums.demand(), now),
        allDemand ? sums.evidence().keySet() : evidence.changedKeys(sums.evidence(), now),
        times.changedTargets(sums.times(), now),
        poisonFacts.count(facts.poison()),
        targetFacts.count(facts.targets()));
  }

  /** What has changed, by kind. */
  record Changes(
      Collection<TargetId> loads,
      Collection<DemandKey> demand,
      Collection<EvidenceKey> evidence,
      Collection<TargetId> times,
      int poisonFacts,
      int targetFacts) {
    /** Returns the number of entries of each kind. */
    Map<ReportContent, Integer> counts() {
      Map<ReportContent, Integer> counts = new EnumMap<>(ReportContent.class);
      counts.put(ReportContent.LOADS, loads.size());
      counts.put(ReportContent.DEMAND, demand.size());
      counts.put(ReportContent.EVIDENCE, evidence.size());
      counts.put(ReportContent.TIMES, times.size());
      counts.put(ReportContent.POISON_FACTS, poisonFacts);
      counts.put(ReportContent.TARGET_FACTS, targetFacts);
      return counts;
    }
  }

  /**
   * Returns a report with some changes and records them as sent.
   *
   * @param counts the number of entries that the report carries, by kind
   */
  LoadReport report(
      LoadReport.Header header,
      Changes changes,
      Map<ReportContent, Integer> counts,
      LoadSums sums,
      FactSources facts) {
    List<TargetId> firstTimes =
        changes.times().stream().limit(counts.get(ReportContent.TIMES)).toList();
    return new LoadReport(
        header,
        loads.send(
            loads.first(changes.loads(), sums.loads(), counts.get(ReportContent.LOADS)),
            sums.loads()),
        demand.send(
            demand.first(changes.demand(), sums.demand(), counts.get(ReportContent.DEMAND)),
            sums.demand()),
        evidence.send(
            evidence.first(changes.evidence(), sums.evidence(), counts.get(ReportContent.EVIDENCE)),
            sums.evidence()),
        poisonFacts.nextToSend(facts.poison(), counts.get(ReportContent.POISON_FACTS)),
        targetFacts.nextToSend(facts.targets(), counts.get(ReportContent.TARGET_FACTS)),
        times.send(firstTimes, sums.times()));
  }
}
