package org.gatereel.core.document;

/**
 * The clock of the store, by the readings of any document that bear its time. It is steady until
 * the store returns from an older copy, when it may go back.
 */
public final class StoreClock {
  private long offsetMillis;
  private long readAt = Long.MIN_VALUE;

  /**
   * Records a reading; an earlier one than the last is ignored.
   *
   * @param storeMillis the store's clock when it was read
   * @param queriedAt when the query was sent, on this host's clock
   */
  public void record(long storeMillis, long queriedAt) {
    if (queriedAt >= readAt) {
      readAt = queriedAt;
      offsetMillis = storeMillis - queriedAt;
    }
  }

  /** Returns the store's clock minus this host's; 0 before the first reading. */
  public long offsetMillis() {
    return offsetMillis;
  }
}
