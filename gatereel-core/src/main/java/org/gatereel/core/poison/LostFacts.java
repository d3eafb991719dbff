package org.gatereel.core.poison;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.gatereel.core.model.TargetId;

/**
 * The facts that the store has lost with its return from an older copy, and when this host writes
 * them again. Known facts stay in force at hosts; rows are for hosts that start later.
 */
final class LostFacts {
  /** Within this time after a return, rows are read to learn what other hosts have written. */
  private static final long READING_PERIOD_MILLIS = 6_000;

  /** Facts are written again within this time, if the store accepts them. */
  private static final long REWRITE_PERIOD_MILLIS = 60_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long returnedAt = NEVER;
  private long writtenAt = NEVER;
  private List<PoisonFact> lost = List.of();
  private OptionalLong dueAt = OptionalLong.empty();

  /** What identifies a fact; times of rows depend on clocks. */
  private record Key(Fingerprint request, Optional<TargetId> ended) {
    static Key of(PoisonFact fact) {
      return new Key(fact.request(), fact.ended());
    }
  }

  void recordStoreReturn(long now) {
    returnedAt = now;
    lost = List.of();
    dueAt = OptionalLong.empty();
  }

  /** Records that rows were written; earlier readings do not show them. */
  void recordWritten(long now) {
    writtenAt = now;
  }

  boolean needsReading(long readAt, long now) {
    long sinceReturn = now - returnedAt;
    boolean mayBeWritten =
        sinceReturn < READING_PERIOD_MILLIS
            || (!lost.isEmpty() && sinceReturn < REWRITE_PERIOD_MILLIS);
    return readAt <= returnedAt || mayBeWritten;
  }

  /**
   * Compares the rows with the known facts.
   *
   * @param known all facts that hosts write
   * @param readAt when the request that returned the rows was sent
   * @param delayMillis the delay of the first write
   * @return whether a write became due at {@link #dueAt}
   */
  boolean update(
      List<PoisonFact> known, List<PoisonFact> rows, long readAt, long now, long delayMillis) {
    boolean isSinceReturn = readAt > returnedAt && now - returnedAt < REWRITE_PERIOD_MILLIS;
    if (!isSinceReturn || readAt < writtenAt) {
      return false;
    }
    lost = missing(known, rows);
    if (lost.isEmpty()) {
      dueAt = OptionalLong.empty();
      return false;
    }
    boolean isNew = dueAt.isEmpty();
    dueAt = OptionalLong.of(dueAt.orElse(now + delayMillis));
    return isNew;
  }

  /** A request that was cleared needs no row if the store contains no end of it. */
  private static List<PoisonFact> missing(List<PoisonFact> known, List<PoisonFact> rows) {
    Set<Key> stored = rows.stream().map(Key::of).collect(Collectors.toSet());
    Set<Fingerprint> storedRequests = new HashSet<>();
    rows.forEach(row -> storedRequests.add(row.request()));
    return known.stream()
        .filter(fact -> !stored.contains(Key.of(fact)))
        .filter(fact -> !fact.isClearing() || storedRequests.contains(fact.request()))
        .toList();
  }

  /** Returns when the lost facts are to be written; empty if none are lost. */
  OptionalLong dueAt() {
    return dueAt;
  }

  /** Takes the facts to write, if they are due. */
  List<PoisonFact> takeDue(long now) {
    if (dueAt.isEmpty() || now < dueAt.getAsLong()) {
      return List.of();
    }
    dueAt = OptionalLong.empty();
    return lost;
  }
}
