package org.gatereel.core.load;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;

/** What one sender has said last, under a lease that each of its reports renews. */
final class SourceState {
  private final Map<TargetId, TargetLoad> loads = new HashMap<>();
  private Map<DemandKey, Double> demand = Map.of();
  private Map<EvidenceKey, ResponseTally> evidence = Map.of();
  private Address replyTo;
  private long session;
  private long sequence = Long.MIN_VALUE;
  private long receivedAt;

  /** Takes a report in; returns false if it builds on one that is not known here. */
  boolean update(LoadReport report, long now) {
    boolean sameSession = sequence != Long.MIN_VALUE && report.session() == session;
    if (sameSession && report.sequence() <= sequence) {
      // Came late, over a connection that was given up; what is known is younger.
      return true;
    }
    boolean whole = report.baseSequence().isEmpty();
    boolean follows = sameSession && !whole && report.baseSequence().getAsLong() == sequence;
    if (!whole && !follows) {
      return false;
    }
    if (whole) {
      loads.clear();
    }
    report.loads().forEach(this::put);
    demand = report.demand();
    evidence = report.evidence();
    replyTo = report.replyTo();
    session = report.session();
    sequence = report.sequence();
    receivedAt = now;
    return true;
  }

  private void put(TargetId target, TargetLoad load) {
    if (load.isNone()) {
      loads.remove(target);
    } else {
      loads.put(target, load);
    }
  }

  Map<TargetId, TargetLoad> loads() {
    return loads;
  }

  Map<DemandKey, Double> demand() {
    return demand;
  }

  Map<EvidenceKey, ResponseTally> evidence() {
    return evidence;
  }

  Address replyTo() {
    return replyTo;
  }

  long receivedAt() {
    return receivedAt;
  }
}
