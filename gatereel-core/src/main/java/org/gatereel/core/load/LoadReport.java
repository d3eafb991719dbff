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
 * @param loads the current loads of targets; in a complete report, other targets have no load
 * @param demand requests per second, of single accounts only where a service is busy
 * @param evidence responses counted during running rollouts
 * @param poison observations of poison requests that were not reported yet
 * @param targetFacts announcements of targets that were not reported yet
 * @param times the learnt times of some targets, which hold until another report names the target
 */
public record LoadReport(
    Header header,
    Map<TargetId, TargetLoad> loads,
    Map<DemandKey, Double> demand,
    Map<EvidenceKey, ResponseTally> evidence,
    List<PoisonFact> poison,
    List<TargetFact> targetFacts,
    Map<TargetId, TargetTimes> times) {
  /**
   * Where a report is from and what it is based on.
   *
   * @param replyTo the address at which the sender receives reports
   * @param session a random number of the sender's process, which changes when the host restarts
   * @param sequence rises with each report of a session
   * @param baseSequence the sequence of the report to which this one is a change; empty if this one
   *     is complete
   * @param hasDemandChanges whether demand and evidence are changes too, where 0 removes a key;
   *     otherwise they are complete in each report
   */
  public record Header(
      HostId sender,
      Address replyTo,
      LoadScope scope,
      long session,
      long sequence,
      OptionalLong baseSequence,
      boolean hasDemandChanges) {}

  /** Makes a report with complete demand and without rollout evidence and facts. */
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

  /** Makes a report with complete demand and without learnt times. */
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

  /** Makes a report with complete demand. */
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
      List<TargetFact> targetFacts,
      Map<TargetId, TargetTimes> times) {
    this(
        new Header(sender, replyTo, scope, session, sequence, baseSequence, false),
        loads,
        demand,
        evidence,
        poison,
        targetFacts,
        times);
  }

  public LoadReport {
    evidence = Map.copyOf(evidence);
    loads = Map.copyOf(loads);
    demand = Map.copyOf(demand);
    poison = List.copyOf(poison);
    targetFacts = List.copyOf(targetFacts);
    times = Map.copyOf(times);
  }

  /** Returns the host that sent this report. */
  public HostId sender() {
    return header.sender();
  }

  /** Returns the address at which the sender receives reports. */
  public Address replyTo() {
    return header.replyTo();
  }

  /** Returns which hosts' requests this report counts. */
  public LoadScope scope() {
    return header.scope();
  }

  /** Returns the number of the sender's process. */
  public long session() {
    return header.session();
  }

  /** Returns the number of this report within its session. */
  public long sequence() {
    return header.sequence();
  }

  /** Returns the number of the report that this one is based on; empty if this one is complete. */
  public OptionalLong baseSequence() {
    return header.baseSequence();
  }
}
