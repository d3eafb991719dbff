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
 * One message of a host about targets.
 *
 * @param sender who says it
 * @param replyTo where the sender takes reports itself
 * @param session drawn at random by each process, so that a restarted sender is told apart
 * @param sequence rises with each report of a session
 * @param baseSequence the sequence of the report that this one changes; if there is none, this one is
 *     whole, and targets that it does not name have no load
 * @param loads the present load of each target that is named
 * @param demand how many requests a second come, whole in each report; of single accounts only
 *     where a service is busy
 * @param evidence answers that were counted during the roll-outs that run, whole in each report
 * @param poison what became known of requests under which targets end, since the report before
 * @param targetFacts what targets have said, since the report before
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
    List<TargetFact> targetFacts) {
  /** Makes a report of a host that has seen no answers during a roll-out, and heard of no facts. */
  public LoadReport(
      HostId sender,
      Address replyTo,
      LoadScope scope,
      long session,
      long sequence,
      OptionalLong builtOn,
      Map<TargetId, TargetLoad> loads,
      Map<DemandKey, Double> demand) {
    this(
        sender, replyTo, scope, session, sequence, builtOn, loads, demand, Map.of(), List.of(),
        List.of());
  }

  public LoadReport {
    evidence = Map.copyOf(evidence);
    loads = Map.copyOf(loads);
    demand = Map.copyOf(demand);
    poison = List.copyOf(poison);
    targetFacts = List.copyOf(targetFacts);
  }
}
