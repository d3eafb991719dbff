package org.gatereel.standins.platform;

import java.util.concurrent.TimeUnit;

/** Limits the requests per second, with a burst of one second's requests. */
final class RateLimit {
  private final double perSecond;
  private double tokens;
  private long last = System.nanoTime();

  RateLimit(double perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
  }

  synchronized boolean take() {
    long now = System.nanoTime();
    tokens = Math.min(perSecond, tokens + perSecond * (now - last) / TimeUnit.SECONDS.toNanos(1));
    last = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
