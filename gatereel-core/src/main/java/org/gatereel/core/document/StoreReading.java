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
   * <p>Versions alone do not tell, since they fall when the store returns from an older copy. If
   * not both readings have an era, of two that do not overlap the later one is newer.
   */
  boolean isOlderThan(StoreReading other) {
    if (version.hasEra() && other.version.hasEra()) {
      return version.era() == other.version.era()
          ? version.number() < other.version.number()
          : version.era() < other.version.era();
    }
    if (queriedAt > other.answeredAt) {
      return false;
    }
    if (answeredAt < other.queriedAt) {
      return true;
    }
    return version.hasEra() == other.version.hasEra()
        ? version.number() < other.version.number()
        : other.version.hasEra();
  }

  /**
   * Returns whether the store has returned from an older copy between an earlier reading and this
   * one.
   */
  boolean showsReturnSince(StoreReading earlier) {
    if (version.hasEra() && earlier.version.hasEra()) {
      return version.era() > earlier.version.era();
    }
    return queriedAt > earlier.answeredAt && version.number() < earlier.version.number();
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
