package org.gatereel.core.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.internal.GossipFacts.Priority;

/** Tracks which facts of one kind were sent to a receiver, so that each is sent once. */
final class SentFacts<F> {
  static final int MAX_PER_REPORT = 64;

  private final List<Priority> wanted;
  private final Map<Priority, Long> lastSent = new EnumMap<>(Priority.class);

  /** Starts with nothing sent; only facts of the wanted priorities are, the first ones first. */
  SentFacts(List<Priority> wanted) {
    this.wanted = wanted;
  }

  /** Sends all facts again, from the first one. */
  void restart() {
    lastSent.clear();
  }

  /** Returns how many facts wait to be sent, at most {@link #MAX_PER_REPORT}. */
  int count(GossipFacts<F> facts) {
    int count = 0;
    for (Priority priority : wanted) {
      count += after(facts, priority, MAX_PER_REPORT - count).size();
    }
    return count;
  }

  /** Returns the next facts to send, and records them as sent. */
  List<F> nextToSend(GossipFacts<F> facts, int maxCount) {
    List<F> next = new ArrayList<>();
    for (Priority priority : wanted) {
      for (GossipFacts.Numbered<F> fact : after(facts, priority, maxCount - next.size())) {
        lastSent.put(priority, fact.number());
        next.add(fact.fact());
      }
    }
    return next;
  }

  private List<GossipFacts.Numbered<F>> after(
      GossipFacts<F> facts, Priority priority, int maxCount) {
    return facts.after(lastSent.getOrDefault(priority, 0L), maxCount, priority);
  }
}
