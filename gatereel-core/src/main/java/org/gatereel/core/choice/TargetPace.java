package org.gatereel.core.choice;

import java.util.random.RandomGenerator;

/**
 * How fast a candidate is.
 *
 * @param relativeTime the time it takes for the same work, relative to the median of its service
 * @param isPassedOver whether a plain target is left to other hosts this time, because it is slow
 */
record TargetPace(double relativeTime, boolean isPassedOver) {
  private static final TargetPace MEDIAN = new TargetPace(1, false);

  /**
   * Draws whether a target is passed over, so that it is chosen in proportion to its speed.
   *
   * <p>Hosts do not know what others have open at plain targets, so that all of them would select
   * the fastest one if it merely cost less.
   */
  static TargetPace draw(double relativeTime, RandomGenerator random) {
    if (relativeTime == 1) {
      return MEDIAN;
    }
    boolean passedOver = relativeTime > 1 && random.nextDouble() * relativeTime > 1;
    return new TargetPace(relativeTime, passedOver);
  }
}
