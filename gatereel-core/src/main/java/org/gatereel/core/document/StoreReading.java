package org.gatereel.core.document;

/**
 * When something was read from the store, and the store's version at that time. Times are in
 * milliseconds of this host's steady clock.
 *
 * @param queriedAt a time not after the query was sent
 * @param answeredAt a time not before the response arrived
 */
public record StoreReading(StoreVersion version, long queriedAt, long answeredAt) {
  /** Returns the reading that confirms as much as both of these; this one is the newer one. */
  StoreReading mergedWith(StoreReading older) {
    return new StoreReading(
        version, Math.max(queriedAt, older.queriedAt), Math.max(answeredAt, older.answeredAt));
  }
}
