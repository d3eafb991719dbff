package org.gatereel.core.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.gatereel.core.model.TargetId;

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
  private final List<TargetId> executedAt = new ArrayList<>();

  void recordStart() {
    started++;
  }

  /** Records that the connection of an attempt failed. */
  void recordUnreachable() {
    unreachable++;
  }

  /** Records that a target executed the request, or may have. */
  void recordExecution(TargetId target) {
    executedAt.add(target);
  }

  int started() {
    return started;
  }

  int executions() {
    return executedAt.size();
  }

  /** Returns how many executions were at targets that have not ended since. */
  int executionsAt(Predicate<TargetId> hasNotEnded) {
    return (int) executedAt.stream().filter(hasNotEnded).count();
  }

  /** Returns whether no further attempt may start. */
  boolean isExhausted() {
    return started - unreachable >= MAX_CONNECTED_ATTEMPTS
        || unreachable >= MAX_UNREACHABLE_ATTEMPTS;
  }
}
