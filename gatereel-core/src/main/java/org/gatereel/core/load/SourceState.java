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
  private Map<DemandKey, Double> demand = Map.of();
  private Map<EvidenceKey, ResponseTally> evidence = Map.of();
  private Address replyTo;
  private long session;
  private long sequence = Long.MIN_VALUE;
  private long receivedAt;
  private final LoadScope scope;
  private Optional<TargetId> invalidTimesOf = Optional.empty();
  private boolean hasNewInvalidTimes;

  SourceState(LoadScope scope) {
    this.scope = scope;
  }

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
    hasNewInvalidTimes = false;
    report.loads().forEach((target, load) -> put(target, load.withTimes(valid(target, load))));
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

  /** Returns the times of a report; unknown if they are impossible. */
  private TargetTimes valid(TargetId target, TargetLoad load) {
    if (load.times().isValid()) {
      return load.times().withWeightUpTo(scope.maxTimesWeight());
    }
    hasNewInvalidTimes |= invalidTimesOf.isEmpty();
    invalidTimesOf = Optional.of(target);
    return TargetTimes.UNKNOWN;
  }

  /** Returns whether the last report was the first of this source with invalid times. */
  boolean hasNewInvalidTimes() {
    return hasNewInvalidTimes;
  }

  /** Returns the last target of which this source reported invalid times. */
  Optional<TargetId> invalidTimesOf() {
    return invalidTimesOf;
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
