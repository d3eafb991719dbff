package org.gatereel.core.forward;

import org.gatereel.core.model.HostList;
import org.gatereel.core.target.TargetRegistry;

/**
 * Takes in the platform's list of targets.
 *
 * <p>While the store is away, entries of targets lapse that live on; they are back about two
 * seconds after it returns. Until then a missing entry does not mean that its target is gone.
 */
public final class TargetListUpdater {
  /** Entries lapse after some silence; a list that is younger has not missed any. */
  private static final long MIN_OUTAGE_MILLIS = 2_500;

  private static final long REREGISTRATION_PERIOD_MILLIS = 2_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final TargetRegistry targets;
  private final long outageMillis;
  private long lastQueryAt = NEVER;
  private long recoveredAt = NEVER;

  /**
   * Makes a keeper.
   *
   * @param boundMillis within which a change is known while all goes well; lists come no further
   *     apart, so that a longer silence means that the store was away
   */
  public TargetListUpdater(TargetRegistry targets, long boundMillis) {
    this.targets = targets;
    this.outageMillis = Math.max(MIN_OUTAGE_MILLIS, boundMillis);
  }

  /**
   * Takes a list in.
   *
   * @param askedAt when the question was sent that the store answered with it; a list that is older
   *     than the last one changes nothing
   */
  public void update(HostList list, long askedAt) {
    if (askedAt < lastQueryAt) {
      return;
    }
    if (askedAt - lastQueryAt > outageMillis) {
      recoveredAt = askedAt;
    }
    lastQueryAt = askedAt;
    if (askedAt - recoveredAt < REREGISTRATION_PERIOD_MILLIS) {
      targets.seePartial(list);
    } else {
      targets.see(list);
    }
  }
}
