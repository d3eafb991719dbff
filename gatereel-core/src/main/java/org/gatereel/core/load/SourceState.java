package org.gatereel.core.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;

/** The load of one source as of its latest report; each report renews its lease. */
final class SourceState {
  private final Map<TargetId, TargetLoad> loads = new HashMap<>();
  private final Map<DemandKey, Double> demand = new HashMap<>();
  private final Map<EvidenceKey, ResponseTally> evidence = new HashMap<>();
  private final Map<TargetId, TargetTimes> times = new HashMap<>();
  private Optional<TargetId> invalidTimesOf = Optional.empty();
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
      times.clear();
    }
    report.loads().forEach(this::put);
    report.times().forEach((target, learnt) -> put(target, learnt, report.scope()));
    if (complete || !report.header().hasDemandChanges()) {
      demand.clear();
      evidence.clear();
    }
    demand.putAll(report.demand());
    demand.values().removeIf(rate -> rate == 0);
    evidence.putAll(report.evidence());
    evidence.values().removeIf(ResponseTally.NONE::equals);
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

  private void put(TargetId target, TargetTimes learnt, LoadScope scope) {
    boolean valid = learnt.isValid();
    if (!valid) {
      invalidTimesOf = Optional.of(target);
    }
    if (valid && learnt.isKnown()) {
      times.put(target, learnt.withWeightUpTo(scope.maxTimesWeight()));
    } else {
      times.remove(target);
    }
  }

  /** Returns the last target for which this source reported impossible times. */
  Optional<TargetId> invalidTimesOf() {
    return invalidTimesOf;
  }

  Map<TargetId, TargetLoad> loads() {
    return loads;
  }

  /** Returns the times that the source has learnt of targets. */
  Map<TargetId, TargetTimes> times() {
    return times;
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
