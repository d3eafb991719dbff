package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** What this host knows of one service's latest order, and what follows from it for requests. */
final class Rollout {
  /** Of the exposure that is allowed, this part is spent on the canary up to the last moments. */
  private static final double CANARY_PART = 0.4;

  /** A rare route shows its answers too, but most of them must come from the version before. */
  private static final double MOST_OF_ROUTE = 0.5;

  /**
   * A row that was proved longer ago vouches for nothing: readers and askers prove it every 0.5 of
   * a bound of 3 s, one after the other.
   */
  private static final long TRUSTED_MILLIS = 2_500;

  private final RolloutBounds bounds;
  private final RandomGenerator random;
  private final RolloutOrder order;
  private final long knownAt;
  private final Map<String, CanarySampler> draws = new HashMap<>();
  private Optional<RolloutRecord> record = Optional.empty();
  private long storeOffset;
  private long provenAt = Long.MIN_VALUE / 2;
  private VersionVerdict verdict = VersionVerdict.UNKNOWN;
  private Optional<SentRequests> atShift = Optional.empty();
  private boolean loaded;

  Rollout(RolloutBounds bounds, RandomGenerator random, RolloutOrder order, long knownAt) {
    this.bounds = bounds;
    this.random = random;
    this.order = order;
    this.knownAt = knownAt;
  }

  RolloutOrder order() {
    return order;
  }

  Optional<RolloutRecord> record() {
    return record;
  }

  VersionVerdict verdict() {
    return verdict;
  }

  /** Takes the row in; an end is never left, whoever says so. */
  void updateRecord(RolloutRecord latest, long offset, long readAt) {
    boolean older = record.isPresent() && latest.revision() < record.get().revision();
    if (older || isEnded()) {
      return;
    }
    record = Optional.of(latest);
    storeOffset = offset;
    provenAt = Math.max(provenAt, readAt);
  }

  boolean isEnded() {
    return record.map(RolloutRecord::state).filter(RolloutState::isEnd).isPresent();
  }

  private boolean isIn(RolloutState state) {
    return record.map(RolloutRecord::state).filter(state::equals).isPresent();
  }

  boolean isCompleted() {
    return isIn(RolloutState.COMPLETED);
  }

  boolean isRunning() {
    return record.isPresent() && !isEnded();
  }

  /** Takes the evidence of all hosts in; what was found bad stays bad for this order. */
  void evaluate(Map<EvidenceKey, ResponseTally> evidence, long now) {
    if (verdict.kind() != VersionVerdict.Kind.BAD) {
      verdict = VersionComparison.compare(evidence);
    }
    if (stage(now) != RolloutSchedule.Stage.CANARY) {
      SentRequests sent = SentRequests.of(evidence);
      if (atShift.isEmpty()) {
        atShift = Optional.of(sent);
      }
      loaded = sent.tookLoadSince(atShift.get());
    }
  }

  private long storeMillis(long now) {
    return now + storeOffset;
  }

  private RolloutSchedule schedule() {
    RolloutRecord known = record.orElseThrow();
    return new RolloutSchedule(known.startedAt(), known.durationMillis(), bounds);
  }

  RolloutSchedule.Stage stage(long now) {
    return schedule().stage(storeMillis(now));
  }

  private boolean isTrusted(long now) {
    return isRunning() && now - provenAt <= TRUSTED_MILLIS;
  }

  /** Returns whether some requests, or all, go to a version because it is tried out now. */
  boolean isTryingOut(String version, long now) {
    return order.version().equals(version) && isTryingOut(now);
  }

  private boolean isTryingOut(long now) {
    if (!isTrusted(now) || verdict.kind() == VersionVerdict.Kind.BAD) {
      return false;
    }
    return takesAllRequests(now) || storeMillis(now) < schedule().deadline();
  }

  /** Returns the part of a route's requests that goes to the new version now. */
  double newVersionRatio(long now, RouteTraffic traffic) {
    if (!isTryingOut(now)) {
      return 0;
    }
    if (takesAllRequests(now)) {
      return 1;
    }
    double base = CANARY_PART * bounds.exposureRatio();
    return Math.min(MOST_OF_ROUTE, base * traffic.boost());
  }

  /**
   * Returns whether all requests are to go to the new version before its end is known here. At the
   * versions before, targets stop at once when it is written, so nobody goes back to them for not
   * having heard of it yet.
   */
  boolean takesAllRequests(long now) {
    return isTrusted(now)
        && verdict.kind() == VersionVerdict.Kind.GOOD
        && stage(now) != RolloutSchedule.Stage.CANARY;
  }

  boolean sample(String route, double share) {
    return draws.computeIfAbsent(route, any -> new CanarySampler(random)).sample(share);
  }

  /**
   * Returns what holds for requests that are not drawn, for repeats and for copies.
   *
   * @param alone whether all targets have the version that is ordered: it was in service before, or
   *     nothing else is left; without it the service would be refused as a whole
   */
  VersionRule rule(long now, Set<String> heldBack, boolean alone) {
    boolean inVain = isIn(RolloutState.ROLLED_BACK) || verdict.kind() == VersionVerdict.Kind.BAD;
    if (isCompleted() || takesAllRequests(now) || (alone && !inVain)) {
      return VersionRule.prefer(order.version());
    }
    Set<String> excluded = new HashSet<>(heldBack);
    excluded.add(order.version());
    return VersionRule.except(excluded);
  }

  /** Returns a time on this host's clock by which the order was not known to be given. */
  long knownAt() {
    return knownAt;
  }

  /**
   * Returns the row that is to be written now, if this host may decide.
   *
   * @param reader whether this host reads the store for others; hosts that do not write only what
   *     readers have left undone
   * @param openBefore whether requests that cannot move are still open at the versions before
   */
  Optional<RolloutRecord> nextRecord(long now, boolean reader, boolean openBefore) {
    if (!isTrusted(now)) {
      return Optional.empty();
    }
    RolloutRecord known = record.orElseThrow();
    RolloutSchedule.Stage stage = stage(now);
    boolean overdue = stage == RolloutSchedule.Stage.OVERDUE;
    if (!reader && !overdue) {
      return Optional.empty();
    }
    if (verdict.kind() == VersionVerdict.Kind.BAD) {
      return Optional.of(known.withState(RolloutState.ROLLED_BACK));
    }
    if (stage.compareTo(RolloutSchedule.Stage.DECISION) < 0) {
      return Optional.empty();
    }
    boolean good = verdict.kind() == VersionVerdict.Kind.GOOD && loaded;
    boolean mayBecomeGood = verdict.kind() == VersionVerdict.Kind.GOOD && (!loaded || openBefore);
    if (mayBecomeGood && !overdue) {
      return Optional.empty();
    }
    boolean inTime = storeMillis(now) < schedule().deadline();
    return Optional.of(
        known.withState(good && inTime ? RolloutState.COMPLETED : RolloutState.ROLLED_BACK));
  }

  /** Returns the first row of this order, written where none follows it yet. */
  RolloutRecord initialRecord(long startedAt, long replacedRevision) {
    return new RolloutRecord(
        order.service(),
        order.version(),
        order.revision(),
        startedAt,
        order.durationMillis(),
        RolloutState.RUNNING,
        replacedRevision);
  }
}
