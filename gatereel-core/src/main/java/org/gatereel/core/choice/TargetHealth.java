package org.gatereel.core.choice;

import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.target.TargetState;

/**
 * The most recent outcomes of requests to a target, observed by this host or reported by others.
 *
 * @param failed whether the latest outcome is a recent failure
 * @param failedAt when the target last failed, in milliseconds
 * @param workedAt when the target last worked, in milliseconds
 */
record TargetHealth(boolean failed, long failedAt, long workedAt) {
  /** Longer than the spread of correlated failures in a data centre, shorter than most restarts. */
  private static final long RECENT_WINDOW_MILLIS = 1_500;

  /**
   * The longest delay of a failure report from another host: it is batched, forwarded by gatherers,
   * and waits for the bandwidth of a busy link.
   */
  private static final long MAX_REPORT_DELAY_MILLIS = 200;

  /**
   * Combines the observations of this host with the reports of others; the latest outcome counts.
   *
   * <p>Hosts report failures but not successes. An open request of another host counts as a success
   * up to {@link #MAX_REPORT_DELAY_MILLIS} ago if no recent failure was reported.
   */
  static TargetHealth of(TargetState target, TargetLoad others, long now) {
    long failedAt = Math.max(target.lastFailureAt(), others.failedAt());
    boolean executesElsewhere =
        target.description().kind() == TargetKind.ENGINE
            && others.open() > others.reading()
            && !isRecent(others.failedAt(), now);
    long workedElsewhereAt = executesElsewhere ? now - MAX_REPORT_DELAY_MILLIS : Long.MIN_VALUE;
    return new TargetHealth(
        isRecent(failedAt, now) && failedAt >= target.lastDataAt(),
        failedAt,
        Math.max(target.lastDataAt(), workedElsewhereAt));
  }

  /** Returns whether the target worked after a time and within the recent window. */
  boolean workedSince(long time, long now) {
    return !failed && workedAt > time && isRecent(workedAt, now);
  }

  static boolean isRecent(long time, long now) {
    return time > now - RECENT_WINDOW_MILLIS;
  }
}
