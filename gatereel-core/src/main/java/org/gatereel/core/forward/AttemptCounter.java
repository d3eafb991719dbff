package org.gatereel.core.forward;

/** Counts the tries of one request, and ends them somewhere. */
final class AttemptCounter {
  /** Tries that certainly did not run are no attempts of the route's, but cost others time. */
  private static final int MOST_REACHED = 8;

  /** A data centre that goes down leaves many addresses where nobody answers. */
  private static final int MOST_UNREACHED = 24;

  private int begun;
  private int unreached;
  private int runs;

  /** Notes that a try begins. */
  void begin() {
    begun++;
  }

  /** Notes that the connection of a try did not come about. */
  void unreached() {
    unreached++;
  }

  /** Notes that a target ran the request, or may have. */
  void ran() {
    runs++;
  }

  int begun() {
    return begun;
  }

  int runs() {
    return runs;
  }

  /** Returns whether no further try may begin. */
  boolean isUsedUp() {
    return begun - unreached >= MOST_REACHED || unreached >= MOST_UNREACHED;
  }
}
