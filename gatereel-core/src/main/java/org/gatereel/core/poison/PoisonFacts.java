package org.gatereel.core.poison;

import java.util.List;

/** What hosts tell each other of requests under which targets end. */
public interface PoisonFacts {
  /** Knows nothing and takes nothing in. */
  PoisonFacts NONE =
      new PoisonFacts() {
        @Override
        public List<Numbered> after(long number, int most) {
          return List.of();
        }

        @Override
        public void learn(List<PoisonFact> told) {}
      };

  /**
   * A fact and its place among those that this host knows.
   *
   * @param number rises with each fact
   */
  record Numbered(long number, PoisonFact fact) {}

  /** Returns what became known after a number, the earliest first. */
  List<Numbered> after(long number, int most);

  /** Takes in what another host told; what is known already changes nothing. */
  void learn(List<PoisonFact> told);
}
