package org.gatereel.core.rollout;

import org.gatereel.core.model.ServiceName;

/**
 * The row of the store that holds the agreed state of one rollout.
 *
 * @param orderRevision the revision of the order that is executed
 * @param startedAt a time not later than the order, on the store's clock in milliseconds, so that
 *     the deadline computed from it is not too late
 * @param revision the version of this row; 0 if it is not written yet
 */
public record RolloutRecord(
    ServiceName service,
    String version,
    long orderRevision,
    long startedAt,
    long durationMillis,
    RolloutState state,
    long revision) {
  /** Returns the row to write over this one for a change of state. */
  RolloutRecord withState(RolloutState next) {
    return new RolloutRecord(
        service, version, orderRevision, startedAt, durationMillis, next, revision);
  }

  /** Returns the row with the same content to write over another one, for an order's revision. */
  RolloutRecord writtenOver(long changedOrderRevision, long replacedRevision) {
    return new RolloutRecord(
        service, version, changedOrderRevision, startedAt, durationMillis, state, replacedRevision);
  }

  /**
   * Returns whether this row of the same rollout lacks what the known one contains: its end, or its
   * earlier start.
   */
  boolean isBehind(RolloutRecord known) {
    return known.state().isEnd()
        ? state != known.state()
        : !state.isEnd() && startedAt > known.startedAt();
  }

  boolean follows(RolloutOrder order) {
    return orderRevision == order.revision();
  }
}
