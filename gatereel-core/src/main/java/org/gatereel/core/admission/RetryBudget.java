package org.gatereel.core.admission;

/**
 * Limits retries to a ratio of requests, so that retries do not amplify an outage.
 *
 * <p>Each request adds a fraction of a retry to the budget, up to a maximum. The budget starts
 * full.
 */
public final class RetryBudget {
  private static final double DEFAULT_MAX_RETRIES = 10;
  private static final double PERCENT = 100;

  private final double maxRetries;
  private double availableRetries;

  public RetryBudget() {
    this(DEFAULT_MAX_RETRIES);
  }

  /** Makes a full budget of at most {@code maxRetries}. */
  public RetryBudget(double maxRetries) {
    this.maxRetries = maxRetries;
    this.availableRetries = maxRetries;
  }

  /** Records a request of a service that allows {@code percent} retries per 100 requests. */
  public void recordRequest(int percent) {
    availableRetries = Math.min(maxRetries, availableRetries + percent / PERCENT);
  }

  /** Takes one retry from the budget; returns false if there is none. */
  public boolean tryAcquire() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
