package org.gatereel.core.rollout;

/** The state of a rollout, on which all hosts agree through the store. */
public enum RolloutState {
  /** Some requests may go to the new version. */
  RUNNING(false),
  /** All requests go to the new version; the targets of other versions are removed. */
  COMPLETED(true),
  /** No requests go to the new version. */
  ROLLED_BACK(true);

  private final boolean end;

  RolloutState(boolean end) {
    this.end = end;
  }

  /** Returns whether the state is final. */
  public boolean isEnd() {
    return end;
  }
}
