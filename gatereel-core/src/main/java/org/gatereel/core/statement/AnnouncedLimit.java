package org.gatereel.core.statement;

/**
 * How many requests a second a target accepts from all hosts together.
 *
 * @param perSecond the rate; infinite if the target announced a limit before and has none now
 * @param announcedAt when it was first announced, on the steady clock of this host in milliseconds
 */
public record AnnouncedLimit(double perSecond, long announcedAt) {
  /**
   * Announcements within this time count as simultaneous. Hosts exchange ages, so times differ by
   * the delay of a report.
   */
  private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 100;

  /** Returns whether the target accepts any number of requests. */
  public boolean isNone() {
    return perSecond == Double.POSITIVE_INFINITY;
  }

  /**
   * Returns whether this limit replaces another one: if it is later, or simultaneous and lower.
   * Hosts thus agree on one limit, whatever the order in which they receive both.
   */
  boolean supersedes(AnnouncedLimit other) {
    if (perSecond == other.perSecond) {
      return false;
    }
    if (Math.abs(announcedAt - other.announcedAt) <= MAX_CLOCK_DIFFERENCE_MILLIS) {
      return perSecond < other.perSecond;
    }
    return announcedAt > other.announcedAt;
  }
}
