package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The latest order of one service as known to this host, and the version rules that it implies. */
final class Rollout {
  /** The ratio of the allowed exposure used by the canary stage. */
  private static final double CANARY_EXPOSURE_RATIO = 0.4;

  /**
   * The upper limit of the canary ratio on a rare route, where most responses must still come from
   * the old version.
   */
  private static final double MAX_CANARY_RATIO = 0.5;

  /**
   * The row is used for this long after the last read that confirmed it. The intervals of a reader
   * and of its follower add up to half of the bound, 1.5 s of 3 s.
   */
  private static final long RECORD_LEASE_MILLIS = 2_500;

  /**
   * Hosts that know an end which the store has lost write it again within this time. Until then a
   * host that finds the rollout overdue, since it has just started, must not end it otherwise.
   */
  private static final long UNKNOWN_END_PERIOD_MILLIS = 6_000;

  private final RolloutBounds bounds;
  private final RandomGenerator random;
  private final long knownAt;
  private final Map<String, CanarySampler> samplers = new HashMap<>();
  private RolloutOrder order;
  private Optional<RolloutRecord> record = Optional.empty();
  private boolean isUnconfirmed;
  private long decidesFrom = Long.MIN_VALUE;
  private long storeOffset;
  private long provenAt = Long.MIN_VALUE / 2;
  private VersionVerdict verdict = VersionVerdict.UNKNOWN;
  private Optional<SentRequests> sentAtShift = Optional.empty();
  private boolean tookLoad;

  Rollout(RolloutBounds bounds, RandomGenerator random, RolloutOrder order, long knownAt) {
    this.bounds = bounds;
    this.random = random;
    this.order = order;
    this.knownAt = knownAt;
  }

  RolloutOrder order() {
    return order;
  }

  /** Changes the revision of the order, which operators have written again. */
  void setOrderRevision(long revision) {
    order = order.withRevision(revision);
  }

  Optional<RolloutRecord> record() {
    return record;
  }

  VersionVerdict verdict() {
    return verdict;
  }

  /** Records that the store has returned from an older copy, which may lack the known row. */
  void recordStoreReturn() {
    isUnconfirmed = record.isPresent();
  }

  /** Returns whether a known row has not been read since the store's return. */
  boolean isUnconfirmed() {
    return isUnconfirmed;
  }

  /**
   * Returns the known row, to be written again.
   *
   * @param replacedRevision the revision of the row that the store has instead; 0 if there is none
   */
  RolloutRecord lostRecord(long replacedRevision) {
    return record.orElseThrow().writtenOver(order.revision(), replacedRevision);
  }

  /**
   * Updates the row, unless it is older than the known one or that one is final. A final one is
   * replaced only by another end that was written over it. Revisions do not tell which is older if
   * the known row has not been read since the store's return.
   *
   * @param offset the store's clock minus this host's
   * @param readAt when the row was read, on this host's clock
   */
  void updateRecord(RolloutRecord latest, long offset, long readAt) {
    if (record.filter(known -> isOutdated(latest, known)).isPresent()) {
      return;
    }
    isUnconfirmed = false;
    boolean isFirst = record.isEmpty();
    record = Optional.of(latest);
    storeOffset = offset;
    if (isFirst && stage(readAt) == RolloutSchedule.Stage.OVERDUE) {
      decidesFrom = readAt + UNKNOWN_END_PERIOD_MILLIS;
    }
    provenAt = Math.max(provenAt, readAt);
  }

  private boolean isOutdated(RolloutRecord latest, RolloutRecord known) {
    return isUnconfirmed
        ? latest.isBehind(known)
        : latest.revision() < known.revision() || (isEnded() && !latest.state().isEnd());
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

  /** Evaluates the evidence of all hosts. A version found bad stays bad for this order. */
  void evaluate(Map<EvidenceKey, ResponseTally> evidence, long now) {
    if (verdict.kind() != VersionVerdict.Kind.BAD) {
      verdict = VersionComparison.compare(evidence);
    }
    if (stage(now) != RolloutSchedule.Stage.CANARY) {
      SentRequests sent = SentRequests.of(evidence);
      if (sentAtShift.isEmpty()) {
        sentAtShift = Optional.of(sent);
      }
      tookLoad = sent.tookLoadSince(sentAtShift.get());
    }
  }

  private long storeMillis(long now) {
    return now + storeOffset;
  }

  private RolloutSchedule schedule() {
    RolloutRecord current = record.orElseThrow();
    return new RolloutSchedule(current.startedAt(), current.durationMillis(), bounds);
  }

  RolloutSchedule.Stage stage(long now) {
    return schedule().stage(storeMillis(now));
  }

  private boolean hasCurrentRecord(long now) {
    return isRunning() && now - provenAt <= RECORD_LEASE_MILLIS;
  }

  /** Returns whether requests may go to a version because it is the new one of this rollout. */
  boolean isTryingOut(String version, long now) {
    return order.version().equals(version) && isTryingOut(now);
  }

  private boolean isTryingOut(long now) {
    if (!hasCurrentRecord(now) || verdict.kind() == VersionVerdict.Kind.BAD) {
      return false;
    }
    return takesAllRequests(now) || storeMillis(now) < schedule().deadline();
  }

  /** Returns the ratio of a route's requests that goes to the new version now. */
  double newVersionRatio(long now, RouteTraffic traffic) {
    if (!isTryingOut(now)) {
      return 0;
    }
    if (takesAllRequests(now)) {
      return 1;
    }
    double canaryRatio = CANARY_EXPOSURE_RATIO * bounds.exposureRatio();
    return Math.min(MAX_CANARY_RATIO, canaryRatio * traffic.boost());
  }

  /**
   * Returns whether all requests go to the new version, from the shift stage on. This lasts until
   * the end is known to this host, since the targets of other versions stop as soon as completion
   * is written.
   */
  boolean takesAllRequests(long now) {
    return hasCurrentRecord(now)
        && verdict.kind() == VersionVerdict.Kind.GOOD
        && stage(now) != RolloutSchedule.Stage.CANARY;
  }

  boolean sample(String route, double ratio) {
    return samplers.computeIfAbsent(route, any -> new CanarySampler(random)).sample(ratio);
  }

  /**
   * Returns the rule for requests that were not selected for the canary, and for retries and
   * copies.
   *
   * @param unapproved versions that must not be used
   * @param onlyVersion whether all targets have the ordered version, so that excluding it would
   *     make the service unavailable
   */
  VersionRule rule(long now, Set<String> unapproved, boolean onlyVersion) {
    boolean failed = isIn(RolloutState.ROLLED_BACK) || verdict.kind() == VersionVerdict.Kind.BAD;
    if (isCompleted() || takesAllRequests(now) || (onlyVersion && !failed)) {
      return VersionRule.prefer(order.version());
    }
    Set<String> excluded = new HashSet<>(unapproved);
    excluded.add(order.version());
    return VersionRule.except(excluded);
  }

  /** Returns a time on this host's clock that is not later than the order. */
  long knownAt() {
    return knownAt;
  }

  /**
   * Returns the row to write now, if a decision is due and this host may make it.
   *
   * @param reader whether this host reads the store for others; other hosts write only overdue
   *     decisions
   * @param openBefore whether requests that cannot move are still open at the versions before
   */
  Optional<RolloutRecord> nextRecord(long now, boolean reader, boolean openBefore) {
    if (isUnconfirmed || !hasCurrentRecord(now) || now < decidesFrom) {
      return Optional.empty();
    }
    RolloutRecord current = record.orElseThrow();
    RolloutSchedule.Stage stage = stage(now);
    boolean overdue = stage == RolloutSchedule.Stage.OVERDUE;
    if (!reader && !overdue) {
      return Optional.empty();
    }
    if (verdict.kind() == VersionVerdict.Kind.BAD) {
      return Optional.of(current.withState(RolloutState.ROLLED_BACK));
    }
    if (stage.compareTo(RolloutSchedule.Stage.DECISION) < 0) {
      return Optional.empty();
    }
    boolean good = verdict.kind() == VersionVerdict.Kind.GOOD && tookLoad;
    boolean mayBecomeGood = verdict.kind() == VersionVerdict.Kind.GOOD && (!tookLoad || openBefore);
    if (mayBecomeGood && !overdue) {
      return Optional.empty();
    }
    boolean inTime = storeMillis(now) < schedule().deadline();
    return Optional.of(
        current.withState(good && inTime ? RolloutState.COMPLETED : RolloutState.ROLLED_BACK));
  }

  /** Returns the first row of this order. */
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
