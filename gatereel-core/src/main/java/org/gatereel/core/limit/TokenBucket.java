package org.gatereel.core.limit;

/**
 * Counts the requests that a target may still be sent, at a rate that may change.
 *
 * <p>It begins empty: whoever counted before may have given all out a moment ago.
 */
final class TokenBucket {
  /**
   * What may be saved up: with it in any 4 s four and a half times the rate and 2 are given out,
   * and 2 more for streams that go on, of the six times the rate and 5 that a target bears. What
   * remains covers requests that arrive late and the moments in which two hosts lend.
   */
  private static final double SAVED_SECONDS = 0.5;

  /** At low rates requests come at any time, and what was not saved until then is lost. */
  private static final double SAVED_TOKENS = 2;

  /**
   * Where nobody has asked for so long, another host may have lent meanwhile, and nothing is saved
   * at the rate: a lender that pauses 0.7 s in every 2 s, and the one that follows it, gave out 77
   * tokens in 4 s at 10 a second otherwise, where 65 are borne.
   */
  private static final long UNASKED_MILLIS = 500;

  /** What is given out in advance to streams that have begun, whose callers cannot wait. */
  private static final double ADVANCE = 2;

  private double tokens;
  private long filledAt;

  TokenBucket(long now) {
    filledAt = now;
  }

  /**
   * Takes some tokens.
   *
   * @param perSecond the present rate
   * @param urgent whether they may be given in advance
   * @return how many there were, at most {@code count}
   */
  int take(long now, double perSecond, int count, boolean urgent) {
    fill(now, perSecond);
    double least = urgent ? -ADVANCE : 0;
    int taken = (int) Math.max(0, Math.min(count, Math.floor(tokens - least)));
    tokens -= taken;
    return taken;
  }

  /** Returns when there will be a token, from now, in milliseconds; 0 if there is one. */
  long millisToNext(double perSecond, boolean urgent) {
    double missing = 1 - tokens - (urgent ? ADVANCE : 0);
    return missing <= 0 ? 0 : (long) Math.ceil(missing * 1_000 / perSecond);
  }

  private void fill(long now, double perSecond) {
    boolean unasked = now - filledAt > UNASKED_MILLIS;
    double most = SAVED_TOKENS + (unasked ? 0 : SAVED_SECONDS * perSecond);
    tokens = Math.min(most, tokens + (now - filledAt) * perSecond / 1_000);
    filledAt = now;
  }
}
