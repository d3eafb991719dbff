package org.gatereel.core.internal;

import java.util.List;

/**
 * Facts that hosts exchange by gossip: each host sends every fact once and forwards the facts that
 * it receives.
 *
 * @param <F> the type of a fact
 */
public interface GossipFacts<F> {
  /**
   * A fact with its sequence number.
   *
   * @param number increases with each fact that this host adds
   */
  record Numbered<F>(long number, F fact) {}

  /** Which hosts need a fact. */
  enum Priority {
    /** The fact may change a decision at any host. */
    DECISIVE,
    /** The fact matters only together with others, to the hosts that collect facts. */
    SUPPORTING
  }

  /** Returns at most {@code limit} facts with a number above {@code number}, in ascending order. */
  List<Numbered<F>> after(long number, int limit);

  /**
   * Returns at most {@code limit} facts of a priority with a number above {@code number}, in
   * ascending order. A fact that becomes decisive gets a new number. Unless overridden, all facts
   * are decisive.
   */
  default List<Numbered<F>> after(long number, int limit, Priority priority) {
    return priority == Priority.DECISIVE ? after(number, limit) : List.of();
  }

  /** Adds the facts of another host; facts that are already present change nothing. */
  void merge(List<F> facts);

  /** Returns an instance that is always empty and ignores merged facts. */
  static <F> GossipFacts<F> none() {
    return new GossipFacts<>() {
      @Override
      public List<Numbered<F>> after(long number, int limit) {
        return List.of();
      }

      @Override
      public void merge(List<F> facts) {}
    };
  }
}
