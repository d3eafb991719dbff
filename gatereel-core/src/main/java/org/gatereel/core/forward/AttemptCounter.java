package org.gatereel.core.forward;

/** Counts the attempts of one request and limits them. */
final class AttemptCounter {
  /**
   * Attempts that certainly did not execute are not limited by the route, but still cost other
   * hosts time.
   */
  private static final int MAX_CONNECTED_ATTEMPTS = 8;

  /** Higher, since the failure of a data centre leaves many unreachable addresses. */
  private static final int MAX_UNREACHABLE_ATTEMPTS = 24;

  private int started;
  private int unreachable;
  private int executions;

  void recordStart() {
    started++;
  }

  /** Records that the connection of an attempt failed. */
  void recordUnreachable() {
    unreachable++;
  }

  /** Records that a target executed the request, or may have. */
  void recordExecution() {
    executions++;
  }

  int started() {
    return started;
  }

  int executions() {
    return executions;
  }

  /** Returns whether no further attempt may start. */
  boolean isExhausted() {
    return started - unreachable >= MAX_CONNECTED_ATTEMPTS
        || unreachable >= MAX_UNREACHABLE_ATTEMPTS;
  }
}
