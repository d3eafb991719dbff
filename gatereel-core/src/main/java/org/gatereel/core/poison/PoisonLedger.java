package org.gatereel.core.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.model.TargetId;

/**
 * The facts known about requests during which targets ended, and which of these are quarantined.
 *
 * <p>When a target ends, all its requests end with it, but only one of them may be the cause. An
 * end is therefore attributed to the request with the most ends, and to none of them if several
 * have the most. A request with {@link #QUARANTINE_END_COUNT} attributed ends is quarantined;
 * simultaneous ends count once. The order in which facts are merged matters only where a request
 * was quarantined before a fact was known that would have caused a tie.
 */
final class PoisonLedger {
  /**
   * Enough that ends of targets for other reasons do not quarantine a harmless request. Of 4,405
   * requests while nine in ten targets of a data centre ended every 6.5 s, none had two.
   */
  static final int QUARANTINE_END_COUNT = 3;

  /** Longer than callers take to retry. */
  private static final long SUSPECTED_TIMEOUT_MILLIS = 3_600_000;

  /** A day. After it the request may end three more targets. */
  private static final long QUARANTINE_TIMEOUT_MILLIS = 24 * SUSPECTED_TIMEOUT_MILLIS;

  /**
   * 1.3 MB of heap, at 1,285 bytes for a case of four ends. Beyond it, cases are evicted: suspected
   * before quarantined ones, the oldest first.
   */
  private static final int MAX_CASES = 1_000;

  private final Map<Fingerprint, PoisonCase> cases = new HashMap<>();
  private final TreeMap<Long, PoisonFact> facts = new TreeMap<>();
  private long number;

  boolean isEmpty() {
    return cases.isEmpty();
  }

  /** Adds a fact; returns whether it is new. */
  boolean add(PoisonFact fact) {
    PoisonCase poisonCase = cases.computeIfAbsent(fact.request(), any -> new PoisonCase());
    boolean isNew =
        fact.ended()
            .map(target -> poisonCase.addEnd(target, fact))
            .orElseGet(() -> poisonCase.clear(fact.at()));
    if (!isNew) {
      return false;
    }
    if (fact.isClearing()) {
      facts.values().removeIf(each -> each.request().equals(fact.request()));
    }
    facts.put(++number, fact);
    if (cases.size() > MAX_CASES) {
      evictOne();
    }
    return true;
  }

  private void evictOne() {
    cases.entrySet().stream()
        .min(
            Comparator.comparing((Map.Entry<Fingerprint, PoisonCase> each) -> isQuarantined(each))
                .thenComparing(each -> each.getValue().lastFactAt()))
        .map(Map.Entry::getKey)
        .ifPresent(this::remove);
  }

  private static boolean isQuarantined(Map.Entry<Fingerprint, PoisonCase> each) {
    return each.getValue().isQuarantined();
  }

  private void remove(Fingerprint request) {
    cases.remove(request);
    facts.values().removeIf(fact -> fact.request().equals(request));
  }

  /** Removes cases whose last fact is too old. */
  void expire(long now) {
    for (var entry : Map.copyOf(cases).entrySet()) {
      long timeoutMillis =
          entry.getValue().isQuarantined() ? QUARANTINE_TIMEOUT_MILLIS : SUSPECTED_TIMEOUT_MILLIS;
      if (now - entry.getValue().lastFactAt() > timeoutMillis) {
        remove(entry.getKey());
      }
    }
  }

  /** Quarantines the requests with enough attributed ends; returns them. */
  List<Fingerprint> quarantineDue() {
    List<Fingerprint> found = new ArrayList<>();
    // The ends of a quarantined request are not attributed to others, which may resolve a tie.
    for (Optional<Fingerprint> next = findNext(); next.isPresent(); next = findNext()) {
      cases.get(next.get()).quarantine();
      found.add(next.get());
    }
    return found;
  }

  private Optional<Fingerprint> findNext() {
    Set<TargetId> explained = new HashSet<>();
    cases.values().stream()
        .filter(PoisonCase::isQuarantined)
        .forEach(quarantined -> explained.addAll(quarantined.ends()));
    Map<Fingerprint, Set<TargetId>> unexplained = new HashMap<>();
    cases.forEach(
        (request, poisonCase) ->
            unexplainedEnds(poisonCase, explained)
                .ifPresent(ends -> unexplained.put(request, ends)));
    return unexplained.entrySet().stream()
        .filter(each -> each.getValue().size() >= QUARANTINE_END_COUNT)
        .filter(
            each ->
                countAttributed(each.getKey(), each.getValue(), unexplained)
                    >= QUARANTINE_END_COUNT)
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private static Optional<Set<TargetId>> unexplainedEnds(
      PoisonCase poisonCase, Set<TargetId> explained) {
    if (poisonCase.isQuarantined() || poisonCase.ends().isEmpty()) {
      return Optional.empty();
    }
    Set<TargetId> ends = new HashSet<>(poisonCase.ends());
    ends.removeAll(explained);
    return Optional.of(ends);
  }

  private int countAttributed(
      Fingerprint request, Set<TargetId> ends, Map<Fingerprint, Set<TargetId>> unexplained) {
    Set<TargetId> attributed = new HashSet<>(ends);
    unexplained.forEach(
        (other, otherEnds) -> {
          if (!other.equals(request) && otherEnds.size() >= ends.size()) {
            attributed.removeAll(otherEnds);
          }
        });
    return cases.get(request).countOccasions(attributed);
  }

  boolean isQuarantined(Fingerprint request) {
    PoisonCase poisonCase = cases.get(request);
    return poisonCase != null && poisonCase.isQuarantined();
  }

  /** Returns how many targets ended during a request; 0 if it is cleared. */
  int endCount(Fingerprint request) {
    PoisonCase poisonCase = cases.get(request);
    return poisonCase == null ? 0 : poisonCase.ends().size();
  }

  boolean isCleared(Fingerprint request) {
    PoisonCase poisonCase = cases.get(request);
    return poisonCase != null && poisonCase.isCleared();
  }

  int quarantinedCount() {
    return (int) cases.values().stream().filter(PoisonCase::isQuarantined).count();
  }

  int suspectedCount() {
    return (int) cases.values().stream().filter(each -> !each.ends().isEmpty()).count()
        - quarantinedCount();
  }

  List<PoisonFact> factsOf(Fingerprint request) {
    return facts.values().stream().filter(fact -> fact.request().equals(request)).toList();
  }

  /** Returns the facts after a number, in the order in which they were added. */
  List<GossipFacts.Numbered<PoisonFact>> after(long number, int maxCount) {
    return facts.tailMap(number, false).entrySet().stream()
        .limit(maxCount)
        .map(entry -> new GossipFacts.Numbered<>(entry.getKey(), entry.getValue()))
        .toList();
  }
}
