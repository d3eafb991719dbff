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
 * All that is known of requests under which targets end, and the verdict on each.
 *
 * <p>At a target that ends, everything that it has ends with it: one request may have caused it,
 * the others were only there. So an end is charged to one request alone, the one with the most
 * ends; if several have as many, to none of them, until they part. A request with three ends
 * charged to it is held back; ends that came together count as one. Facts only add up, and in any
 * order: hosts that know the same facts come to the same verdict, but for a tie that one of them
 * had decided before it learnt of it.
 */
final class PoisonLedger {
  /**
   * Three ends as its run began, at three targets, and no run that lasted. Of 4,405 requests on a
   * day on which nine in ten targets of a data centre ended each 6.5 s, none had two.
   */
  static final int ENDS_TO_HOLD = 3;

  /** Longer than callers take to come back, shorter than what is worth being remembered. */
  private static final long SUSPECTED_MILLIS = 3_600_000;

  /** A day: after it the request may have three targets more. */
  private static final long HELD_MILLIS = 24 * SUSPECTED_MILLIS;

  /**
   * 1.3 MB of heap (1,285 bytes a case of four ends, measured on 1,000); those that are not held go
   * first, the oldest before others.
   */
  private static final int MOST_CASES = 1_000;

  private final Map<Fingerprint, PoisonCase> cases = new HashMap<>();
  private final TreeMap<Long, PoisonFact> facts = new TreeMap<>();
  private long number;

  boolean isEmpty() {
    return cases.isEmpty();
  }

  /** Takes a fact in; returns whether it was not known. */
  boolean add(PoisonFact fact) {
    PoisonCase known = cases.computeIfAbsent(fact.request(), any -> new PoisonCase());
    boolean news =
        fact.ended().map(target -> known.end(target, fact)).orElseGet(() -> known.sound(fact.at()));
    if (!news) {
      return false;
    }
    if (fact.isSound()) {
      facts.values().removeIf(each -> each.request().equals(fact.request()));
    }
    facts.put(++number, fact);
    if (cases.size() > MOST_CASES) {
      dropOne();
    }
    return true;
  }

  private void dropOne() {
    cases.entrySet().stream()
        .min(
            Comparator.comparing((Map.Entry<Fingerprint, PoisonCase> each) -> isHeld(each))
                .thenComparing(each -> each.getValue().changedAt()))
        .map(Map.Entry::getKey)
        .ifPresent(this::drop);
  }

  private static boolean isHeld(Map.Entry<Fingerprint, PoisonCase> each) {
    return each.getValue().isHeld();
  }

  private void drop(Fingerprint request) {
    cases.remove(request);
    facts.values().removeIf(fact -> fact.request().equals(request));
  }

  /** Forgets what is too old to count. */
  void expire(long now) {
    for (var entry : Map.copyOf(cases).entrySet()) {
      long kept = entry.getValue().isHeld() ? HELD_MILLIS : SUSPECTED_MILLIS;
      if (now - entry.getValue().changedAt() > kept) {
        drop(entry.getKey());
      }
    }
  }

  /** Returns the requests that are to be held back from now on. */
  List<Fingerprint> judge() {
    List<Fingerprint> found = new ArrayList<>();
    // An end that a held request explains counts against nobody else, which may decide a tie.
    for (Optional<Fingerprint> next = next(); next.isPresent(); next = next()) {
      cases.get(next.get()).hold();
      found.add(next.get());
    }
    return found;
  }

  private Optional<Fingerprint> next() {
    Set<TargetId> explained = new HashSet<>();
    cases.values().stream()
        .filter(PoisonCase::isHeld)
        .forEach(held -> explained.addAll(held.ends()));
    Map<Fingerprint, Set<TargetId>> open = new HashMap<>();
    cases.forEach(
        (request, known) -> openEnds(known, explained).ifPresent(e -> open.put(request, e)));
    return open.entrySet().stream()
        .filter(each -> each.getValue().size() >= ENDS_TO_HOLD)
        .filter(each -> charged(each.getKey(), each.getValue(), open) >= ENDS_TO_HOLD)
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private static Optional<Set<TargetId>> openEnds(PoisonCase known, Set<TargetId> explained) {
    if (known.isHeld() || known.ends().isEmpty()) {
      return Optional.empty();
    }
    Set<TargetId> ends = new HashSet<>(known.ends());
    ends.removeAll(explained);
    return Optional.of(ends);
  }

  private int charged(
      Fingerprint request, Set<TargetId> ends, Map<Fingerprint, Set<TargetId>> open) {
    Set<TargetId> charged = new HashSet<>(ends);
    open.forEach(
        (other, itsEnds) -> {
          if (!other.equals(request) && itsEnds.size() >= ends.size()) {
            charged.removeAll(itsEnds);
          }
        });
    return cases.get(request).occasions(charged);
  }

  boolean isHeld(Fingerprint request) {
    PoisonCase known = cases.get(request);
    return known != null && known.isHeld();
  }

  /** Returns under how many ends of targets a request was, 0 if it was seen to run well. */
  int ends(Fingerprint request) {
    PoisonCase known = cases.get(request);
    return known == null ? 0 : known.ends().size();
  }

  boolean isSound(Fingerprint request) {
    PoisonCase known = cases.get(request);
    return known != null && known.isSound();
  }

  int held() {
    return (int) cases.values().stream().filter(PoisonCase::isHeld).count();
  }

  int suspected() {
    return (int) cases.values().stream().filter(known -> !known.ends().isEmpty()).count() - held();
  }

  List<PoisonFact> factsOf(Fingerprint request) {
    return facts.values().stream().filter(fact -> fact.request().equals(request)).toList();
  }

  List<GossipFacts.Numbered<PoisonFact>> after(long known, int most) {
    return facts.tailMap(known, false).entrySet().stream()
        .limit(most)
        .map(entry -> new GossipFacts.Numbered<>(entry.getKey(), entry.getValue()))
        .toList();
  }
}
