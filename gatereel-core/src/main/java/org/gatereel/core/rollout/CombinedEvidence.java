package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The evidence of this host and of all other hosts. */
final class CombinedEvidence {
  private final LocalEvidence local;
  private Supplier<Map<EvidenceKey, ResponseTally>> others = Map::of;

  CombinedEvidence(LocalEvidence local) {
    this.local = local;
  }

  void setOthers(Supplier<Map<EvidenceKey, ResponseTally>> source) {
    others = source;
  }

  /** Returns the tally of one key over all hosts. */
  ResponseTally tally(EvidenceKey key) {
    return local
        .tallies()
        .getOrDefault(key, ResponseTally.NONE)
        .plus(others.get().getOrDefault(key, ResponseTally.NONE));
  }

  /** Returns all tallies of one order over all hosts. */
  Map<EvidenceKey, ResponseTally> of(RolloutOrder order) {
    Map<EvidenceKey, ResponseTally> sums = new HashMap<>();
    for (Map<EvidenceKey, ResponseTally> source : List.of(local.tallies(), others.get())) {
      source.forEach(
          (key, tally) -> {
            if (key.service().equals(order.service()) && key.orderRevision() == order.revision()) {
              sums.merge(key, tally, ResponseTally::plus);
            }
          });
    }
    return sums;
  }
}
