package org.gatereel.core.platform;

/**
 * The limits of the platform's store for all hosts together.
 *
 * @param writesPerSecond the maximum number of transactions per second, of any number of rows
 * @param rowsPerTransaction the maximum number of rows in a transaction
 */
public record StoreLimits(int writesPerSecond, int rowsPerTransaction) {
  /** The default limits. */
  public static final StoreLimits STANDARD = new StoreLimits(400, 100);

  public StoreLimits {
    if (writesPerSecond < 1 || rowsPerTransaction < 1) {
      throw new IllegalArgumentException("store limits must be at least 1");
    }
  }
}
