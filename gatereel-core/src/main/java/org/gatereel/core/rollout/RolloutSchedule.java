package org.gatereel.core.rollout;

/**
 * The course of one roll-out on the store's clock, alike at all hosts without a word between them.
 *
 * <p>A small part of the requests goes to the new version nearly up to the deadline, since it may
 * turn bad late. Only the last moments bear the whole load: so long that failures under load show,
 * and so short that a version which turns bad just then stays within the exposure that is allowed.
 *
 * @param startedAt milliseconds
 */
record RolloutSchedule(long startedAt, long durationMillis, RolloutBounds bounds) {
  /**
   * What is left for the row that ends a roll-out: two tries with a store that takes 250 ms, and a
   * little for clocks.
   */
  private static final long LEFT_FOR_END_MILLIS = 700;

  /** Of a short roll-out the end may take no more than this part. */
  private static final double MOST_FOR_END_PART = 0.15;

  /**
   * The part of the allowed exposure that is spent on bearing the whole load before the end. As
   * much again passes between the end and the deadline, and the rest is the canary's.
   */
  private static final double SHIFT_PART = 0.6;

  /** What is left undecided for so long after its time is decided by any host that knows it. */
  private static final long OVERDUE_MILLIS = 400;

  /** A stage of a roll-out that is running. */
  enum Stage {
    /** A small part of the requests goes to the new version. */
    CANARY,
    /** All requests go there if nothing speaks against it. */
    SHIFT,
    /** It is to be decided now. */
    DECISION,
    /** It should have been decided. */
    OVERDUE
  }

  Stage stage(long storeMillis) {
    if (storeMillis < shiftAt()) {
      return Stage.CANARY;
    }
    if (storeMillis < decideAt()) {
      return Stage.SHIFT;
    }
    return storeMillis < decideAt() + OVERDUE_MILLIS ? Stage.DECISION : Stage.OVERDUE;
  }

  long deadline() {
    return startedAt + durationMillis;
  }

  long decideAt() {
    long left = (long) (MOST_FOR_END_PART * durationMillis);
    return deadline() - Math.min(LEFT_FOR_END_MILLIS, left);
  }

  long shiftAt() {
    return decideAt() - (long) (SHIFT_PART * bounds.exposureRatio() * durationMillis);
  }
}
