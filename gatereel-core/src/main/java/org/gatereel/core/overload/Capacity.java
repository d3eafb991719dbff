package org.gatereel.core.overload;

/** The request rate that the targets of a service can serve, from service times and rate limits. */
final class Capacity {
  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Below 1, so that the queues at the targets drain within some seconds while the service is
   * overloaded. At the full rate they would stay full and all calls would be late.
   */
  private static final double PLAIN_SERVICE_ADMITTED_RATIO = 0.85;

  /**
   * Above 1, since the limits themselves are enforced when requests are sent, and capacity that is
   * not divided among accounts would be lost.
   */
  private static final double RATE_LIMITED_ADMITTED_RATIO = 1.15;

  private final boolean engineService;
  private final double serviceTimeMillis;
  private int slots;
  private double perSecond;
  private boolean hasUnlimitedTarget;

  /**
   * Makes the capacity of a service without targets.
   *
   * @param engineService whether the targets are engines, which read one prompt at a time
   * @param serviceTimeMillis how long one request occupies a slot; 0 if unknown
   */
  Capacity(boolean engineService, double serviceTimeMillis) {
    this.engineService = engineService;
    this.serviceTimeMillis = serviceTimeMillis;
  }

  /**
   * Adds a target.
   *
   * @param targetSlots how many requests it works on concurrently
   * @param limitPerSecond its announced rate limit; infinite if it has none
   */
  void addTarget(int targetSlots, double limitPerSecond) {
    double possible =
        serviceTimeMillis > 0
            ? targetSlots * MILLIS_PER_SECOND / serviceTimeMillis
            : Double.POSITIVE_INFINITY;
    slots += targetSlots;
    perSecond += Math.min(possible, limitPerSecond);
    hasUnlimitedTarget |= limitPerSecond >= possible;
  }

  boolean isEngineService() {
    return engineService;
  }

  /** Returns how many requests the targets work on concurrently. */
  int slots() {
    return slots;
  }

  double serviceTimeMillis() {
    return serviceTimeMillis;
  }

  /** Returns whether the rate limit of every target is below what its slots allow. */
  boolean isRateLimited() {
    return slots > 0 && !hasUnlimitedTarget;
  }

  /** Returns the requests per second that can be served; infinite if unknown. */
  double perSecond() {
    return slots == 0 && serviceTimeMillis == 0 ? Double.POSITIVE_INFINITY : perSecond;
  }

  /**
   * Returns the requests per second to divide among accounts during overload.
   *
   * <p>For plain services this is below the full rate: their queues are already full when overload
   * is detected, and at the full rate they would stay full.
   */
  double admittedPerSecond() {
    if (isRateLimited()) {
      return RATE_LIMITED_ADMITTED_RATIO * perSecond;
    }
    return engineService ? perSecond() : PLAIN_SERVICE_ADMITTED_RATIO * perSecond();
  }

  /** Returns how many milliseconds it takes to serve a number of requests. */
  double millisFor(double requests) {
    return requests * MILLIS_PER_SECOND / perSecond();
  }
}
