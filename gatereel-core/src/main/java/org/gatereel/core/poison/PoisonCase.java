package org.gatereel.core.poison;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.model.TargetId;

/** What is known of one request under which targets ended. */
final class PoisonCase {
  /**
   * Targets of a data centre that lose power end within less; calls that many callers make alike
   * are at several of them in that moment.
   */
  private static final long TOGETHER_MILLIS = 500;

  private final Map<TargetId, PoisonFact> ends = new LinkedHashMap<>();
  private boolean clear;
  private boolean held;
  private long lastFactAt;

  /** Notes an end; returns whether it is news. */
  boolean addEnd(TargetId target, PoisonFact fact) {
    if (clear || ends.containsKey(target)) {
      return false;
    }
    ends.put(target, fact);
    lastFactAt = Math.max(lastFactAt, fact.at());
    return true;
  }

  /** Notes that the request runs as it should; returns whether that is news. */
  boolean clear(long at) {
    lastFactAt = Math.max(lastFactAt, at);
    boolean news = !clear;
    clear = true;
    held = false;
    ends.clear();
    return news;
  }

  void quarantine() {
    held = true;
  }

  boolean isCleared() {
    return clear;
  }

  boolean isQuarantined() {
    return held;
  }

  Set<TargetId> ends() {
    return ends.keySet();
  }

  /**
   * Returns how often targets of a set ended under the request, where ends that came together count
   * once: in the same moment, and each of a run that had been sent before the others' end.
   */
  int countOccasions(Set<TargetId> among) {
    List<PoisonFact> inOrder =
        ends.entrySet().stream()
            .filter(end -> among.contains(end.getKey()))
            .map(Map.Entry::getValue)
            .sorted(Comparator.comparingLong(PoisonFact::at))
            .toList();
    int count = 0;
    long last = 0;
    for (PoisonFact end : inOrder) {
      if (count == 0 || end.sentAt() >= last || end.at() - last >= TOGETHER_MILLIS) {
        count++;
        last = end.at();
      }
    }
    return count;
  }

  /** Returns when the last fact was seen. */
  long lastFactAt() {
    return lastFactAt;
  }
}
