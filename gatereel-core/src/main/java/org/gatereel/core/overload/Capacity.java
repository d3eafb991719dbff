package org.gatereel.core.overload;

/** What the targets of a service can do: each what it has time for, or what it says it takes. */
final class Capacity {
  private static final double SECOND_MILLIS = 1_000;

  /**
   * Lets full queues empty within some seconds; what is shared out at the full rate keeps them
   * full, so that all calls are late.
   */
  private static final double DRAINING_PART = 0.85;

  /**
   * What is shared out of limits: more than they are, since tokens hold what is sent to them, and
   * what is shared out too little is lost to callers.
   */
  private static final double LIMITED_PART = 1.15;

  private final boolean isEngineService;
  private final double serviceTimeMillis;
  private int slots;
  private double perSecond;
  private boolean unlimited;

  /**
   * Makes the capacity of no target.
   *
   * @param engines whether targets are model engines, which read one prompt after another
   * @param workMillis how long a place is taken by one request; 0 as long as that is not known
   */
  Capacity(boolean engines, double workMillis) {
    this.isEngineService = engines;
    this.serviceTimeMillis = workMillis;
  }

  /**
   * Adds a target.
   *
   * @param more how many requests it begins at the same time
   * @param limit how many requests a second it takes by its own word; infinite if it names none
   */
  void addTarget(int more, double limit) {
    double possible = serviceTimeMillis > 0 ? more * SECOND_MILLIS / serviceTimeMillis : Double.POSITIVE_INFINITY;
    slots += more;
    perSecond += Math.min(possible, limit);
    unlimited |= limit >= possible;
  }

  boolean isEngineService() {
    return isEngineService;
  }

  /** Returns how many requests targets begin at the same time. */
  int slots() {
    return slots;
  }

  double serviceTimeMillis() {
    return serviceTimeMillis;
  }

  /** Returns whether all targets take less, by their own word, than they have time for. */
  boolean isRateLimited() {
    return slots > 0 && !unlimited;
  }

  /** Returns how many requests a second can be done; infinite as long as it is not known. */
  double perSecond() {
    return slots == 0 && serviceTimeMillis == 0 ? Double.POSITIVE_INFINITY : perSecond;
  }

  /**
   * Returns how many requests a second are shared out while more are asked for.
   *
   * <p>By the time that a plain service shows that it is overloaded its queues are full, and at the
   * full rate they stay so: all that is served is late.
   */
  double admittedPerSecond() {
    if (isRateLimited()) {
      return LIMITED_PART * perSecond;
    }
    return isEngineService ? perSecond() : DRAINING_PART * perSecond();
  }

  /** Returns how long a number of requests takes, in milliseconds. */
  double millisFor(double requests) {
    return requests * SECOND_MILLIS / perSecond();
  }
}
