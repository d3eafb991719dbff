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

  private boolean isComparedByEra(StoreVersion other) {
    return hasEra() && other.hasEra() && era != other.era;
  }

  /** Returns whether both eras are known, and this one is later. */
  boolean isOfLaterEraThan(StoreVersion other) {
    return isComparedByEra(other) && era > other.era;
  }

  /** Returns whether this version can only be that of a later state than the other if it fell. */
  boolean hasFallenSince(StoreVersion other) {
    return isComparedByEra(other) ? era < other.era : number < other.number;
  }

  /** Returns whether this version is that of an earlier state, of two at about the same time. */
  boolean isBelow(StoreVersion other) {
    return hasEra() == other.hasEra() ? hasFallenSince(other) : other.hasEra();
  }

  /** Returns the version as it appears in logs, for example {@code 3/1204} or {@code -/1204}. */
  @Override
  public String toString() {
    return (hasEra() ? Long.toString(era) : "-") + "/" + number;
  }
}
