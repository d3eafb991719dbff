package org.gatereel.core.document;

import org.gatereel.core.model.HostList;
import org.gatereel.core.target.TargetRegistry;

/**
 * Applies the platform's list of targets to the {@link TargetRegistry}.
 *
 * <p>During an outage of the store the entries of live targets expire; targets register again soon
 * after the store recovers. Until then an entry missing from the list does not mean that its target
 * has ended.
 */
public final class TargetListUpdater {
  /** Entries do not expire during shorter outages. */
  private static final long MIN_OUTAGE_MILLIS = 2_500;

  private static final long REREGISTRATION_PERIOD_MILLIS = 2_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final TargetRegistry targets;
  private final long outageMillis;
  private long lastQueryAt = NEVER;
  private long recoveredAt = NEVER;

  /**
   * Creates an updater.
   *
   * @param boundMillis the longest interval between two lists in normal operation; a longer one
   *     means that the store was unavailable
   */
  public TargetListUpdater(TargetRegistry targets, long boundMillis) {
    this.targets = targets;
    this.outageMillis = Math.max(MIN_OUTAGE_MILLIS, boundMillis);
  }

  /**
   * Applies a list.
   *
   * @param queriedAt when the query was sent whose response held the list; a list older than the
   *     last one is ignored
   */
  public void update(HostList list, long queriedAt) {
    if (queriedAt < lastQueryAt) {
      return;
    }
    if (queriedAt - lastQueryAt > outageMillis) {
      recoveredAt = queriedAt;
    }
    lastQueryAt = queriedAt;
    if (queriedAt - recoveredAt < REREGISTRATION_PERIOD_MILLIS) {
      targets.applyPartialList(list);
    } else {
      targets.applyList(list);
    }
  }
}
