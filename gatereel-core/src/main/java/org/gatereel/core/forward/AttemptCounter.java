package org.gatereel.core.forward;

/** Counts the tries of one request, and ends them somewhere. */
final class AttemptCounter {
  /** Tries that certainly did not run are no attempts of the route's, but cost others time. */
  private static final int MAX_CONNECTED_ATTEMPTS = 8;

  /** A data centre that goes down leaves many addresses where nobody answers. */
  private static final int MAX_UNREACHABLE_ATTEMPTS = 24;

  private int started;
  private int unreached;
  private int executions;

  /** Notes that a try begins. */
  void recordStart() {
    started++;
  }

  /** Notes that the connection of a try did not come about. */
  void unreached() {
    unreached++;
  }

  /** Notes that a target ran the request, or may have. */
  void recordExecution() {
    executions++;
  }

  int started() {
    return started;
  }

  int executions() {
    return executions;
  }

  /** Returns whether no further try may begin. */
  boolean isExhausted() {
    return started - unreached >= MAX_CONNECTED_ATTEMPTS || unreached >= MAX_UNREACHABLE_ATTEMPTS;
  }
}
