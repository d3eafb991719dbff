package org.gatereel.core.rollout;

import org.gatereel.core.model.ServiceName;

/**
 * The row of the store on which hosts agree about one roll-out.
 *
 * @param orderRevision the revision of the order that it follows
 * @param startedAt a time by which the order was not given yet, or was just given, on the store's
 *     clock in milliseconds, so that the deadline is not taken for later than it is
 * @param revision the version of this row; 0 for one that is not written yet
 */
public record RolloutRecord(
    ServiceName service,
    String version,
    long orderRevision,
    long startedAt,
    long durationMillis,
    RolloutState state,
    long revision) {
  /** Returns the row that follows this one. */
  RolloutRecord withState(RolloutState next) {
    return new RolloutRecord(
        service, version, orderRevision, startedAt, durationMillis, next, revision);
  }

  boolean follows(RolloutOrder order) {
    return orderRevision == order.revision();
  }
}
