package org.gatereel.core.load;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;

/** The load of one source as of its latest report; each report renews its lease. */
final class SourceState {
  private final Map<TargetId, TargetLoad> loads = new HashMap<>();
  private Map<DemandKey, Double> demand = Map.of();
  private Map<EvidenceKey, ResponseTally> evidence = Map.of();
  private Address replyTo;
  private long session;
  private long sequence = Long.MIN_VALUE;
  private long receivedAt;

  /** Applies a report; returns false if the report that it is based on was not received. */
  boolean update(LoadReport report, long now) {
    boolean sameSession = sequence != Long.MIN_VALUE && report.session() == session;
    if (sameSession && report.sequence() <= sequence) {
      // Delayed on a connection that the sender gave up; a later report was applied already.
      return true;
    }
    boolean complete = report.baseSequence().isEmpty();
    boolean follows = sameSession && !complete && report.baseSequence().getAsLong() == sequence;
    if (!complete && !follows) {
      return false;
    }
    if (complete) {
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
