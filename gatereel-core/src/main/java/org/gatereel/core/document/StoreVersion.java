package org.gatereel.core.document;

/**
 * A version of the platform's store.
 *
 * @param era how often the store has returned from an older copy of itself, by its own count;
 *     {@link #UNKNOWN_ERA} if it does not tell
 * @param number the newest version of any row; within an era it never decreases
 */
public record StoreVersion(long era, long number) {
  /** The era of a store that does not tell any. */
  public static final long UNKNOWN_ERA = -1;

  /** Returns a version of a store that does not tell its era. */
  public static StoreVersion withoutEra(long number) {
    return new StoreVersion(UNKNOWN_ERA, number);
  }

  /** Returns whether the store has told its era. */
  public boolean hasEra() {
    return era != UNKNOWN_ERA;
  }

  /** Returns the version as it appears in logs, for example {@code 3/1204} or {@code -/1204}. */
  @Override
  public String toString() {
    return (hasEra() ? Long.toString(era) : "-") + "/" + number;
  }
}
