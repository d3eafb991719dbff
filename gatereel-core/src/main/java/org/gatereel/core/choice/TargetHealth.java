package org.gatereel.core.choice;

import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.target.TargetState;

/**
 * What was lately seen of a target, here or by other hosts.
 *
 * @param failed whether the latest that was seen is a failure
 * @param failedAt when it last failed
 * @param workedAt when it last worked
 */
record TargetHealth(boolean failed, long failedAt, long workedAt) {
  /**
   * How long something seen says something of the present: longer than engines of a data centre
   * that fail together stay apart in time, shorter than most restarts take.
   */
  private static final long RECENT_MILLIS = 1_500;

  /**
   * How long the news of a failure is on its way: gathered, passed on, and held back on a link that
   * has much to say.
   */
  private static final long NEWS_MILLIS = 200;

  /**
   * Weighs what this host and others saw; the latest decides.
   *
   * <p>Hosts tell failures at once and signs of life never: a run of theirs that nobody reports
   * broken went well until the moment from which no news can have arrived yet.
   */
  static TargetHealth of(TargetState target, TargetLoad others, long now) {
    long failedAt = Math.max(target.lastFailureAt(), others.failedAt());
    boolean runsElsewhere =
        target.description().kind() == TargetKind.ENGINE
            && others.open() > others.reading()
            && !isRecent(others.failedAt(), now);
    long seenElsewhere = runsElsewhere ? now - NEWS_MILLIS : Long.MIN_VALUE;
    return new TargetHealth(
        isRecent(failedAt, now) && failedAt >= target.lastDataAt(),
        failedAt,
        Math.max(target.lastDataAt(), seenElsewhere));
  }

  /** Returns whether the target worked after a time, and lately. */
  boolean workedSince(long time, long now) {
    return !failed && workedAt > time && isRecent(workedAt, now);
  }

  static boolean isRecent(long time, long now) {
    return time > now - RECENT_MILLIS;
  }
}
