package org.gatereel.core.limit;

/**
 * The response to a token request.
 *
 * @param granted how many of the requested tokens are granted
 * @param retryAfterMillis time until more tokens may be available; 0 if unknown
 */
public record TokenGrant(int granted, long retryAfterMillis) {
  /** No tokens, with an unknown time until there are more. */
  public static final TokenGrant NONE = new TokenGrant(0, 0);
}
