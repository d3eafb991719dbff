package org.gatereel.core.limit;

/**
 * A token bucket whose rate may change.
 *
 * <p>It starts empty, because another host may just have issued all tokens of the target.
 */
final class TokenBucket {
  /**
   * The burst capacity in proportion to the rate, in seconds. In any 4 s a bucket issues at most
   * 4.5 times the rate and 4 tokens, of the 6 times the rate and 5 that a target tolerates. The
   * difference covers late requests and times with two issuers.
   */
  private static final double MAX_SAVED_SECONDS = 0.5;

  /** Added to the capacity, so that tokens are not lost between requests at low rates. */
  private static final double MIN_CAPACITY_TOKENS = 2;

  /**
   * After this time without requests another host may have issued tokens, so nothing is saved in
   * proportion to the rate. Otherwise an issuer that pauses 0.7 s in every 2 s and its substitute
   * issue 77 tokens in 4 s at 10 per second, where a target tolerates 65.
   */
  private static final long IDLE_MILLIS = 500;

  /** How many tokens are issued in advance for urgent requests. */
  private static final double MAX_ADVANCE_TOKENS = 2;

  private double tokens;
  private long filledAt;

  TokenBucket(long now) {
    filledAt = now;
  }

  /**
   * Takes up to {@code count} tokens.
   *
   * @param perSecond the current rate
   * @param urgent whether tokens may be issued in advance
   * @return how many tokens were taken
   */
  int take(long now, double perSecond, int count, boolean urgent) {
    fill(now, perSecond);
    double minTokens = urgent ? -MAX_ADVANCE_TOKENS : 0;
    int taken = (int) Math.max(0, Math.min(count, Math.floor(tokens - minTokens)));
    tokens -= taken;
    return taken;
  }

  /**
   * Returns the time in milliseconds until the next token is available; 0 if one is available now.
   */
  long millisToNext(double perSecond, boolean urgent) {
    double missing = 1 - tokens - (urgent ? MAX_ADVANCE_TOKENS : 0);
    return missing <= 0 ? 0 : (long) Math.ceil(missing * 1_000 / perSecond);
  }

  private void fill(long now, double perSecond) {
    boolean idle = now - filledAt > IDLE_MILLIS;
    double capacity = MIN_CAPACITY_TOKENS + (idle ? 0 : MAX_SAVED_SECONDS * perSecond);
    tokens = Math.min(capacity, tokens + (now - filledAt) * perSecond / 1_000);
    filledAt = now;
  }
}
