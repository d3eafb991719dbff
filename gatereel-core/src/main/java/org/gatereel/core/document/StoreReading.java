package org.gatereel.core.document;

/**
 * When something was read from the store, and the store's version at that time. Times are in
 * milliseconds of this host's steady clock.
 *
 * @param queriedAt a time not after the query was sent
 * @param answeredAt a time not before the response arrived
 */
public record StoreReading(StoreVersion version, long queriedAt, long answeredAt) {
  /**
   * Returns whether the other reading shows a later state of the store.
   *
   * <p>The store is linearizable: of two readings that do not overlap the later one is newer,
   * whatever their versions, since both eras and numbers may be lower after the store has returned
   * from a copy. Only of overlapping readings the versions tell.
   */
  boolean isOlderThan(StoreReading other) {
    if (isAfter(other)) {
      return false;
    }
    return other.isAfter(this) || version.isBelow(other.version);
  }

  private boolean isAfter(StoreReading other) {
    return queriedAt > other.answeredAt;
  }

  /**
   * Returns whether the store has returned from an older copy between an earlier reading and this
   * one.
   */
  boolean showsReturnSince(StoreReading earlier) {
    if (version.isOfLaterEraThan(earlier.version)) {
      return !earlier.isAfter(this);
    }
    return isAfter(earlier) && version.hasFallenSince(earlier.version);
  }

  /**
   * Returns the reading that confirms as much as this one and an older one together. The state that
   * it shows is not later than this one's response.
   */
  StoreReading mergedWith(StoreReading older) {
    long latestQueryAt = Math.max(queriedAt, older.queriedAt);
    return new StoreReading(version, latestQueryAt, Math.max(answeredAt, latestQueryAt));
  }
}
