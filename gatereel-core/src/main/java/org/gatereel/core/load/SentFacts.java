package org.gatereel.core.load;

import java.util.List;
import org.gatereel.core.internal.GossipFacts;

/** Tracks which facts of one kind were sent to a receiver, so that each is sent once. */
final class SentFacts<F> {
  private long lastSent;

  /**
   * Returns the next facts to send, and records them as sent.
   *
   * @param restart whether to send all facts again, from the first one
   */
  List<F> nextToSend(GossipFacts<F> facts, boolean restart, int maxCount) {
    List<GossipFacts.Numbered<F>> next = facts.after(restart ? 0 : lastSent, maxCount);
    if (restart) {
      lastSent = 0;
    }
    next.forEach(fact -> lastSent = fact.number());
    return next.stream().map(GossipFacts.Numbered::fact).toList();
  }
}
