package org.gatereel.core.limit;

/**
 * What a host lends another one.
 *
 * @param granted how many of those asked for
 * @param retryAfterMillis in how many milliseconds there may be more; 0 if that is not known
 */
public record TokenGrant(int granted, long retryAfterMillis) {
  /** Nothing is lent, and nobody knows when there will be something. */
  public static final TokenGrant NONE = new TokenGrant(0, 0);
}
