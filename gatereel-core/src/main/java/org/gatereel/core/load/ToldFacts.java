package org.gatereel.core.load;

import java.util.List;
import org.gatereel.core.internal.GossipFacts;

/** Which facts of one kind a receiver has been told, each of them once. */
final class ToldFacts<F> {
  private long told;

  /**
   * Returns the facts that are to be told next, and counts them as told.
   *
   * @param anew whether all are to be told once more
   */
  List<F> next(GossipFacts<F> facts, boolean anew, int most) {
    List<GossipFacts.Numbered<F>> next = facts.after(anew ? 0 : told, most);
    if (anew) {
      told = 0;
    }
    next.forEach(fact -> told = fact.number());
    return next.stream().map(GossipFacts.Numbered::fact).toList();
  }
}
