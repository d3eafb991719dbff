package org.gatereel.core.forward;

import org.gatereel.core.model.HostList;
import org.gatereel.core.target.TargetRegistry;

/**
 * Takes in the platform's list of targets.
 *
 * <p>While the store is away, entries of targets lapse that live on; they are back about two
 * seconds after it returns. Until then a missing entry does not mean that its target is gone.
 */
public final class TargetListKeeper {
  /** Entries lapse after some silence; a list that is younger has not missed any. */
  private static final long LEAST_AWAY_MILLIS = 2_500;

  private static final long RETURN_MILLIS = 2_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final TargetRegistry targets;
  private final long awayMillis;
  private long provenAt = NEVER;
  private long returnedAt = NEVER;

  /**
   * Makes a keeper.
   *
   * @param boundMillis within which a change is known while all goes well; lists come no further
   *     apart, so that a longer silence means that the store was away
   */
  public TargetListKeeper(TargetRegistry targets, long boundMillis) {
    this.targets = targets;
    this.awayMillis = Math.max(LEAST_AWAY_MILLIS, boundMillis);
  }

  /**
   * Takes a list in.
   *
   * @param askedAt when the question was sent that the store answered with it; a list that is older
   *     than the last one changes nothing
   */
  public void learn(HostList list, long askedAt) {
    if (askedAt < provenAt) {
      return;
    }
    if (askedAt - provenAt > awayMillis) {
      returnedAt = askedAt;
    }
    provenAt = askedAt;
    if (askedAt - returnedAt < RETURN_MILLIS) {
      targets.applyPartialList(list);
    } else {
      targets.applyList(list);
    }
  }
}
