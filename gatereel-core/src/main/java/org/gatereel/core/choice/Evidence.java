package org.gatereel.core.choice;

import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.target.TargetState;

/** What was lately seen of a target, here or by other hosts. */
enum Evidence {
  WORKED(-1),
  UNKNOWN(0),
  FAILED(1);

  /**
   * How long something seen says something of the present: longer than engines of a data centre
   * that fail together stay apart in time, shorter than most restarts take.
   */
  private static final long RECENT_MILLIS = 1_500;

  private final int doubt;

  Evidence(int doubt) {
    this.doubt = doubt;
  }

  /** Returns by how much this raises the doubt in the target's data centre. */
  int doubt() {
    return doubt;
  }

  /**
   * Weighs what this host and others saw; the latest decides.
   *
   * <p>Hosts tell failures at once and signs of life never: a run of theirs that nobody reports
   * broken goes well.
   */
  static Evidence of(TargetState target, TargetLoad others, long now) {
    long failedAt = Math.max(target.lastFailureAt(), others.failedAt());
    if (isRecent(failedAt, now) && failedAt >= target.lastSignAt()) {
      return FAILED;
    }
    boolean runsElsewhere = others.open() > others.reading() && !isRecent(others.failedAt(), now);
    return runsElsewhere || isRecent(target.lastSignAt(), now) ? WORKED : UNKNOWN;
  }

  static boolean isRecent(long time, long now) {
    return time > now - RECENT_MILLIS;
  }
}
