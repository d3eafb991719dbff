package org.gatereel.core.limit;

/**
 * What a host lends another one.
 *
 * @param granted how many of those asked for
 * @param againMillis in how many milliseconds there may be more; 0 if that is not known
 */
public record Loan(int granted, long againMillis) {
  /** Nothing is lent, and nobody knows when there will be something. */
  public static final Loan NONE = new Loan(0, 0);
}
