package org.gatereel.core.internal;

import java.util.List;

/**
 * What hosts tell each other once, as it becomes known, and pass on to all others.
 *
 * @param <F> one fact
 */
public interface GossipFacts<F> {
  /**
   * A fact and its place among those that this host knows.
   *
   * @param number rises with each fact
   */
  record Numbered<F>(long number, F fact) {}

  /** Returns what became known after a number, the earliest first. */
  List<Numbered<F>> after(long number, int most);

  /** Takes in what another host told; what is known already changes nothing. */
  void merge(List<F> told);

  /** Returns facts that nobody tells and that take nothing in. */
  static <F> GossipFacts<F> none() {
    return new GossipFacts<>() {
      @Override
      public List<Numbered<F>> after(long number, int most) {
        return List.of();
      }

      @Override
      public void merge(List<F> told) {}
    };
  }
}
