package org.gatereel.core.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.model.TargetId;

/**
 * The facts known about requests and parts of prompts during which targets ended, and which of
 * these are quarantined.
 *
 * <p>When a target ends, all its requests end with it, but only one of them may be the cause. An
 * end is therefore attributed to the request with the most ends, and to none of them if several
 * have the most. A request with {@link #QUARANTINE_END_COUNT} attributed ends is quarantined;
 * simultaneous ends count once.
 *
 * <p>A part of a prompt is charged with the ends of all requests that contain it, whether these are
 * quarantined or not; it is quarantined after {@link #PART_QUARANTINE_END_COUNT} ends that no
 * single request explains. Parts with the same ends cannot be told apart; after one more end all of
 * them but the one recorded last are quarantined, which is the one that most requests share.
 *
 * <p>The order in which facts are merged matters only where parts cannot be told apart, or where a
 * request was quarantined before a fact was known that would have caused a tie.
 */
final class PoisonLedger {
  /**
   * Enough that ends of targets for other reasons do not quarantine a harmless request. Of 4,405
   * requests while nine in ten targets of a data centre ended every 6.5 s, none had two.
   */
  static final int QUARANTINE_END_COUNT = 3;

  /** One more than for a whole request, since harmless requests may share the part. */
  static final int PART_QUARANTINE_END_COUNT = 4;

  /** Nearly all requests with a single end have not caused it. */
  private static final int DECISIVE_END_COUNT = 2;

  /** Longer than callers take to retry. */
  private static final long SUSPECTED_TIMEOUT_MILLIS = 3_600_000;

  /** A day. After it the request may end three more targets. */
  private static final long QUARANTINE_TIMEOUT_MILLIS = 24 * SUSPECTED_TIMEOUT_MILLIS;

  /** Shorter than for a whole request, because a part may be shared by harmless requests. */
  private static final long PART_QUARANTINE_TIMEOUT_MILLIS = SUSPECTED_TIMEOUT_MILLIS;

  /** A part that was harmless may become poison, for example with a new version of the model. */
  private static final long PART_CLEARED_TIMEOUT_MILLIS = 60_000;

  /**
   * 1.3 MB of heap, at 1,285 bytes for a case of four ends. Beyond it, cases are evicted: suspected
   * before quarantined ones, the oldest first.
   */
  private static final int MAX_CASES = 1_000;

  private final Map<Fingerprint, PoisonCase> cases = new LinkedHashMap<>();
  private final TreeMap<Long, PoisonFact> facts = new TreeMap<>();
  private final TreeMap<Long, PoisonFact> decisiveFacts = new TreeMap<>();
  private long number;

  boolean isEmpty() {
    return cases.isEmpty();
  }

  /** Adds a fact; returns whether it is new. */
  boolean add(PoisonFact fact) {
    PoisonCase poisonCase = cases.computeIfAbsent(fact.request(), any -> new PoisonCase());
    int endsBefore = poisonCase.ends().size();
    boolean isNew =
        fact.ended()
            .map(target -> poisonCase.addEnd(target, fact))
            .orElseGet(() -> poisonCase.clear(fact.at()));
    if (!isNew) {
      return false;
    }
    int endsAfter = poisonCase.ends().size();
    boolean isDecisive = Math.max(endsBefore, endsAfter) >= DECISIVE_END_COUNT;
    if (fact.isClearing()) {
      removeFacts(fact.request());
    } else if (isDecisive && endsBefore < DECISIVE_END_COUNT) {
      // Receivers that were not sent the earlier end need it now.
      List<PoisonFact> earlier = factsOf(fact.request());
      removeFacts(fact.request());
      earlier.forEach(each -> addNumbered(each, true));
    }
    addNumbered(fact, isDecisive);
    if (cases.size() > MAX_CASES) {
      evictOne();
    }
    return true;
  }

  private void addNumbered(PoisonFact fact, boolean isDecisive) {
    facts.put(++number, fact);
    if (isDecisive) {
      decisiveFacts.put(number, fact);
    }
  }

  private void removeFacts(Fingerprint request) {
    facts.values().removeIf(fact -> fact.request().equals(request));
    decisiveFacts.values().removeIf(fact -> fact.request().equals(request));
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
    removeFacts(request);
  }

  /** Removes cases whose last fact is too old. */
  void expire(long now) {
    for (var entry : Map.copyOf(cases).entrySet()) {
      long timeoutMillis = timeoutMillis(entry.getKey(), entry.getValue());
      if (now - entry.getValue().lastFactAt() > timeoutMillis) {
        remove(entry.getKey());
      }
    }
  }

  private static long timeoutMillis(Fingerprint request, PoisonCase poisonCase) {
    if (request.isPart() && poisonCase.isCleared()) {
      return PART_CLEARED_TIMEOUT_MILLIS;
    }
    if (!poisonCase.isQuarantined()) {
      return SUSPECTED_TIMEOUT_MILLIS;
    }
    return request.isPart() ? PART_QUARANTINE_TIMEOUT_MILLIS : QUARANTINE_TIMEOUT_MILLIS;
  }

  /** Quarantines the requests and parts with enough attributed ends; returns them. */
  List<Fingerprint> quarantineDue() {
    List<Fingerprint> found = new ArrayList<>();
    // The ends of a quarantined request are not attributed to others, which may resolve a tie.
    for (List<Fingerprint> next = findNext(); !next.isEmpty(); next = findNext()) {
      next.forEach(due -> cases.get(due).quarantine());
      found.addAll(next);
    }
    return found;
  }

  private List<Fingerprint> findNext() {
    List<Fingerprint> parts = findNextParts();
    return parts.isEmpty() ? findNextRequest().stream().toList() : parts;
  }

  /** The ends of quarantined requests are still charged to parts, which may be their cause. */
  private List<Fingerprint> findNextParts() {
    Map<Set<TargetId>, List<Fingerprint>> partsByEnds = new LinkedHashMap<>();
    unexplainedEnds(Fingerprint::isPart, Fingerprint::isPart)
        .forEach(
            (part, ends) -> partsByEnds.computeIfAbsent(ends, any -> new ArrayList<>()).add(part));
    List<Map.Entry<Set<TargetId>, List<Fingerprint>>> byEndCount =
        partsByEnds.entrySet().stream()
            .sorted(Comparator.comparingInt(each -> -each.getKey().size()))
            .toList();
    Set<TargetId> ofEarlierParts = new HashSet<>();
    for (Map.Entry<Set<TargetId>, List<Fingerprint>> each : byEndCount) {
      Set<TargetId> attributed = new HashSet<>(each.getKey());
      attributed.removeAll(ofEarlierParts);
      ofEarlierParts.addAll(each.getKey());
      if (isDue(each.getValue(), attributed)) {
        return withoutMostShared(each.getValue());
      }
    }
    return List.of();
  }

  private boolean isDue(List<Fingerprint> parts, Set<TargetId> ends) {
    int needed = PART_QUARANTINE_END_COUNT + (parts.size() == 1 ? 0 : 1);
    return cases.get(parts.get(0)).countOccasions(ends) >= needed && !isExplainedByOneRequest(ends);
  }

  /** Of parts that cannot be told apart, the first one of the prompt is in most requests. */
  private static List<Fingerprint> withoutMostShared(List<Fingerprint> parts) {
    return parts.size() == 1 ? parts : parts.subList(0, parts.size() - 1);
  }

  private boolean isExplainedByOneRequest(Set<TargetId> ends) {
    return cases.entrySet().stream()
        .filter(each -> !each.getKey().isPart())
        .anyMatch(each -> each.getValue().ends().containsAll(ends));
  }

  private Optional<Fingerprint> findNextRequest() {
    Map<Fingerprint, Set<TargetId>> unexplained =
        unexplainedEnds(request -> !request.isPart(), any -> true);
    return unexplained.entrySet().stream()
        .filter(each -> each.getValue().size() >= QUARANTINE_END_COUNT)
        .filter(
            each ->
                countAttributed(each.getKey(), each.getValue(), unexplained)
                    >= QUARANTINE_END_COUNT)
        .map(Map.Entry::getKey)
        .min(Comparator.comparing(Fingerprint::value));
  }

  /**
   * Returns the ends of each case that is not quarantined, without those that a quarantined case
   * explains, in the order in which the cases were recorded.
   */
  private Map<Fingerprint, Set<TargetId>> unexplainedEnds(
      Predicate<Fingerprint> wanted, Predicate<Fingerprint> explaining) {
    Set<TargetId> explained = new HashSet<>();
    cases.forEach(
        (request, poisonCase) -> {
          if (poisonCase.isQuarantined() && explaining.test(request)) {
            explained.addAll(poisonCase.ends());
          }
        });
    Map<Fingerprint, Set<TargetId>> unexplained = new LinkedHashMap<>();
    cases.forEach(
        (request, poisonCase) -> {
          if (wanted.test(request) && !poisonCase.isQuarantined()) {
            Set<TargetId> ends = new HashSet<>(poisonCase.ends());
            ends.removeAll(explained);
            unexplained.put(request, ends);
          }
        });
    unexplained.values().removeIf(Set::isEmpty);
    return unexplained;
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
    return after(facts, number, any -> true, maxCount);
  }

  /** Returns the facts of a priority after a number, in the order in which they were added. */
  List<GossipFacts.Numbered<PoisonFact>> after(
      long number, int maxCount, GossipFacts.Priority priority) {
    return switch (priority) {
      case DECISIVE -> after(decisiveFacts, number, any -> true, maxCount);
      case SUPPORTING -> after(facts, number, each -> !decisiveFacts.containsKey(each), maxCount);
    };
  }

  private static List<GossipFacts.Numbered<PoisonFact>> after(
      TreeMap<Long, PoisonFact> among, long number, Predicate<Long> wanted, int maxCount) {
    return among.tailMap(number, false).entrySet().stream()
        .filter(entry -> wanted.test(entry.getKey()))
        .limit(maxCount)
        .map(entry -> new GossipFacts.Numbered<>(entry.getKey(), entry.getValue()))
        .toList();
  }
}
