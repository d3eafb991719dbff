package org.gatereel.core.rollout;

/**
 * The stages of one rollout on the store's clock, which all hosts compute alike.
 *
 * <p>During the canary stage, which takes most of the time, a small ratio of the requests goes to
 * the new version. The shift stage is long enough to show failures under full load, and short
 * enough that a version that fails only then stays within the allowed exposure.
 *
 * @param startedAt milliseconds
 */
record RolloutSchedule(long startedAt, long durationMillis, RolloutBounds bounds) {
  /**
   * The time for writing the decision before the deadline: two attempts with a store that takes 250
   * ms, and clock errors.
   */
  private static final long DECISION_RESERVE_MILLIS = 700;

  /** The upper limit of that time in short rollouts, as a ratio of the duration. */
  private static final double MAX_DECISION_RESERVE_RATIO = 0.15;

  /**
   * The ratio of the allowed exposure used by the shift stage. The rest covers the canary stage and
   * the time between decision and deadline.
   */
  private static final double SHIFT_EXPOSURE_RATIO = 0.6;

  /** The time after which any host may write a missing decision. */
  private static final long OVERDUE_TIMEOUT_MILLIS = 400;

  /** A stage of a running rollout. */
  enum Stage {
    /** A small ratio of the requests goes to the new version. */
    CANARY,
    /** All requests go to the new version if the evidence is good. */
    SHIFT,
    /** The decision is due. */
    DECISION,
    /** The decision is late. */
    OVERDUE
  }

  Stage stage(long storeMillis) {
    if (storeMillis < shiftAt()) {
      return Stage.CANARY;
    }
    if (storeMillis < decideAt()) {
      return Stage.SHIFT;
    }
    return storeMillis < decideAt() + OVERDUE_TIMEOUT_MILLIS ? Stage.DECISION : Stage.OVERDUE;
  }

  long deadline() {
    return startedAt + durationMillis;
  }

  long decideAt() {
    long maxReserve = (long) (MAX_DECISION_RESERVE_RATIO * durationMillis);
    return deadline() - Math.min(DECISION_RESERVE_MILLIS, maxReserve);
  }

  long shiftAt() {
    return decideAt() - (long) (SHIFT_EXPOSURE_RATIO * bounds.exposureRatio() * durationMillis);
  }
}
