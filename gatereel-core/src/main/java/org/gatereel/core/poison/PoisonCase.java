package org.gatereel.core.poison;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.model.TargetId;

/** The facts known about one request during which targets ended. */
final class PoisonCase {
  /**
   * Ends within this time may have a common cause: targets of a data centre that lose power end
   * within less, and equal requests of many callers may be at several of them.
   */
  private static final long SIMULTANEOUS_MILLIS = 500;

  private final Map<TargetId, PoisonFact> ends = new LinkedHashMap<>();
  private boolean cleared;
  private boolean quarantined;
  private long lastFactAt;

  /** Adds the end of a target; returns whether it is new. */
  boolean addEnd(TargetId target, PoisonFact fact) {
    if (cleared || ends.containsKey(target)) {
      return false;
    }
    ends.put(target, fact);
    lastFactAt = Math.max(lastFactAt, fact.at());
    return true;
  }

  /** Clears the request after a successful execution; returns whether that is new. */
  boolean clear(long at) {
    lastFactAt = Math.max(lastFactAt, at);
    boolean isNew = !cleared;
    cleared = true;
    quarantined = false;
    ends.clear();
    return isNew;
  }

  void quarantine() {
    quarantined = true;
  }

  boolean isCleared() {
    return cleared;
  }

  boolean isQuarantined() {
    return quarantined;
  }

  Set<TargetId> ends() {
    return ends.keySet();
  }

  /**
   * Counts the ends of some targets during the request. Simultaneous ends count once: those within
   * {@link #SIMULTANEOUS_MILLIS} whose requests were all sent before the first of them.
   */
  int countOccasions(Set<TargetId> counted) {
    List<PoisonFact> inOrder =
        ends.entrySet().stream()
            .filter(end -> counted.contains(end.getKey()))
            .map(Map.Entry::getValue)
            .sorted(Comparator.comparingLong(PoisonFact::at))
            .toList();
    int count = 0;
    long last = 0;
    for (PoisonFact end : inOrder) {
      if (count == 0 || end.sentAt() >= last || end.at() - last >= SIMULTANEOUS_MILLIS) {
        count++;
        last = end.at();
      }
    }
    return count;
  }

  long lastFactAt() {
    return lastFactAt;
  }
}
