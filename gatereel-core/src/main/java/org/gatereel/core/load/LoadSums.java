package org.gatereel.core.load;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.TargetId;

/** What several hosts have at targets and are asked for, added up. */
final class LoadSums {
  private final Map<TargetId, TargetLoad> loads;
  private final Map<DemandKey, Double> demand;

  /** Begins with what one host has and is asked for. */
  LoadSums(Map<TargetId, TargetLoad> loads, Map<DemandKey, Double> demand) {
    this.loads = new HashMap<>(loads);
    this.demand = new HashMap<>(demand);
  }

  LoadSums() {
    this(Map.of(), Map.of());
  }

  void add(Map<TargetId, TargetLoad> moreLoads, Map<DemandKey, Double> moreDemand) {
    moreLoads.forEach((target, load) -> loads.merge(target, load, TargetLoad::plus));
    moreDemand.forEach((key, rate) -> demand.merge(key, rate, Double::sum));
  }

  Map<TargetId, TargetLoad> loads() {
    return loads;
  }

  /** Returns requests a second. */
  Map<DemandKey, Double> demand() {
    return demand;
  }
}
