package org.gatereel.core.admission;

/**
 * Allows retries in proportion to requests, so that a dying hall is not finished off by them.
 *
 * <p>Each request earns a fraction of a retry; a few are in hand from the start.
 */
public final class RetryBudget {
  private static final double IN_HAND = 10;
  private static final double PERCENT = 100;

  private final double inHand;
  private double allowed;

  public RetryBudget() {
    this(IN_HAND);
  }

  /** Begins with {@code inHand} retries, which is also the most that can be saved up. */
  public RetryBudget(double inHand) {
    this.inHand = inHand;
    this.allowed = inHand;
  }

  /** Notes a request of a service that allows {@code percent} retries for each 100 requests. */
  public void recordRequest(int percent) {
    allowed = Math.min(inHand, allowed + percent / PERCENT);
  }

  /** Takes one retry out of the budget; returns whether there was one. */
  public boolean tryAcquire() {
    if (allowed < 1) {
      return false;
    }
    allowed -= 1;
    return true;
  }
}
