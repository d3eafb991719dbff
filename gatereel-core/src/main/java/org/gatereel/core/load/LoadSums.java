package org.gatereel.core.load;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;

/** What several hosts have at targets, are asked for and have seen, added up. */
final class LoadSums {
  private final Map<TargetId, TargetLoad> loads;
  private final Map<DemandKey, Double> demand;
  private final Map<EvidenceKey, ResponseTally> evidence;

  /** Begins with what one host has, is asked for and has seen. */
  LoadSums(
      Map<TargetId, TargetLoad> loads,
      Map<DemandKey, Double> demand,
      Map<EvidenceKey, ResponseTally> evidence) {
    this.loads = new HashMap<>(loads);
    this.demand = new HashMap<>(demand);
    this.evidence = new HashMap<>(evidence);
  }

  LoadSums() {
    this(Map.of(), Map.of(), Map.of());
  }

  /** Returns the same sums, to which more can be added. */
  LoadSums copy() {
    return new LoadSums(loads, demand, evidence);
  }

  void add(SourceState more) {
    more.loads().forEach((target, load) -> loads.merge(target, load, TargetLoad::plus));
    more.demand().forEach((key, rate) -> demand.merge(key, rate, Double::sum));
    more.evidence().forEach((key, tally) -> evidence.merge(key, tally, ResponseTally::plus));
  }

  Map<TargetId, TargetLoad> loads() {
    return loads;
  }

  /** Returns requests a second. */
  Map<DemandKey, Double> demand() {
    return demand;
  }

  /** Returns the answers that were counted during roll-outs. */
  Map<EvidenceKey, ResponseTally> evidence() {
    return evidence;
  }

  /** Returns how many of those answers were bad. */
  long badResponses() {
    return evidence.values().stream().mapToLong(ResponseTally::bad).sum();
  }
}
