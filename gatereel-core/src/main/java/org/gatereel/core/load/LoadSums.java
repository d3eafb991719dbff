package org.gatereel.core.load;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;

/** Sums of target loads, demand, rollout evidence and learnt times over several hosts. */
final class LoadSums {
  private final Map<TargetId, TargetLoad> loads;
  private final Map<DemandKey, Double> demand;
  private final Map<EvidenceKey, ResponseTally> evidence;
  private final Map<TargetId, TargetTimes> times;

  LoadSums(
      Map<TargetId, TargetLoad> loads,
      Map<DemandKey, Double> demand,
      Map<EvidenceKey, ResponseTally> evidence,
      Map<TargetId, TargetTimes> times) {
    this.loads = new HashMap<>(loads);
    this.demand = new HashMap<>(demand);
    this.evidence = new HashMap<>(evidence);
    this.times = new HashMap<>(times);
  }

  LoadSums() {
    this(Map.of(), Map.of(), Map.of(), Map.of());
  }

  LoadSums copy() {
    return new LoadSums(loads, demand, evidence, times);
  }

  void add(SourceState source) {
    source.loads().forEach((target, load) -> loads.merge(target, load, TargetLoad::plus));
    source.demand().forEach((key, rate) -> demand.merge(key, rate, Double::sum));
    source.evidence().forEach((key, tally) -> evidence.merge(key, tally, ResponseTally::plus));
    source.times().forEach((target, learnt) -> times.merge(target, learnt, TargetTimes::plus));
  }

  Map<TargetId, TargetLoad> loads() {
    return loads;
  }

  /** Returns requests per second. */
  Map<DemandKey, Double> demand() {
    return demand;
  }

  /** Returns the responses counted during rollouts. */
  Map<EvidenceKey, ResponseTally> evidence() {
    return evidence;
  }

  /** Returns the times of targets, combined by weight. */
  Map<TargetId, TargetTimes> times() {
    return times;
  }

  /** Returns the number of bad responses in the evidence. */
  long badResponses() {
    return evidence.values().stream().mapToLong(ResponseTally::bad).sum();
  }
}
