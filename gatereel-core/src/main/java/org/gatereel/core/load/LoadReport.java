package org.gatereel.core.load;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;
import org.gatereel.core.statement.TargetFact;

/**
 * A host's report to another host on loads and demand; complete, or the changes since an earlier
 * one.
 *
 * @param replyTo the address at which the sender receives reports
 * @param session a random number of the sender's process, which changes when the host restarts
 * @param sequence rises with each report of a session
 * @param baseSequence the sequence of the report to which this one is a change; empty if this one
 *     is complete, so that targets not in {@code loads} have no load
 * @param loads the current loads of targets
 * @param demand requests per second, complete in each report; of single accounts only where a
 *     service is busy
 * @param evidence responses counted during running rollouts, complete in each report
 * @param poison observations of poison requests that were not reported yet
 * @param targetFacts announcements of targets that were not reported yet
 * @param times the learnt times of some targets, which hold until another report names the target
 */
public record LoadReport(
    HostId sender,
    Address replyTo,
    LoadScope scope,
    long session,
    long sequence,
    OptionalLong baseSequence,
    Map<TargetId, TargetLoad> loads,
    Map<DemandKey, Double> demand,
    Map<EvidenceKey, ResponseTally> evidence,
    List<PoisonFact> poison,
    List<TargetFact> targetFacts,
    Map<TargetId, TargetTimes> times) {
  /** Makes a report without rollout evidence and facts. */
  public LoadReport(
      HostId sender,
      Address replyTo,
      LoadScope scope,
      long session,
      long sequence,
      OptionalLong baseSequence,
      Map<TargetId, TargetLoad> loads,
      Map<DemandKey, Double> demand) {
    this(
        sender,
        replyTo,
        scope,
        session,
        sequence,
        baseSequence,
        loads,
        demand,
        Map.of(),
        List.of(),
        List.of(),
        Map.of());
  }

  /** Makes a report without learnt times. */
  public LoadReport(
      HostId sender,
      Address replyTo,
      LoadScope scope,
      long session,
      long sequence,
      OptionalLong baseSequence,
      Map<TargetId, TargetLoad> loads,
      Map<DemandKey, Double> demand,
      Map<EvidenceKey, ResponseTally> evidence,
      List<PoisonFact> poison,
      List<TargetFact> targetFacts) {
    this(
        sender,
        replyTo,
        scope,
        session,
        sequence,
        baseSequence,
        loads,
        demand,
        evidence,
        poison,
        targetFacts,
        Map.of());
  }

  public LoadReport {
    evidence = Map.copyOf(evidence);
    loads = Map.copyOf(loads);
    demand = Map.copyOf(demand);
    poison = List.copyOf(poison);
    targetFacts = List.copyOf(targetFacts);
    times = Map.copyOf(times);
  }
}
