package org.gatereel.core.statement;

/**
 * How many requests a second a target takes from all hosts together.
 *
 * @param perSecond the number; infinite where the target named a limit before and does no more
 * @param announcedAt when it was first said, on this host's steady clock in milliseconds
 */
public record AnnouncedLimit(double perSecond, long announcedAt) {
  /**
   * What two hosts heard within this time counts as said at once: a report between hosts, through
   * which the time travels as an age, takes as long.
   */
  private static final long SAME_TIME_MILLIS = 100;

  /** Returns whether the target takes any number of requests. */
  public boolean isNone() {
    return perSecond == Double.POSITIVE_INFINITY;
  }

  /**
   * Returns whether this is to take the place of another one: said later, or at once and lower, so
   * that all hosts come to the same, in whichever order they hear of both.
   */
  boolean supersedes(AnnouncedLimit other) {
    if (perSecond == other.perSecond) {
      return false;
    }
    if (Math.abs(announcedAt - other.announcedAt) <= SAME_TIME_MILLIS) {
      return perSecond < other.perSecond;
    }
    return announcedAt > other.announcedAt;
  }
}
