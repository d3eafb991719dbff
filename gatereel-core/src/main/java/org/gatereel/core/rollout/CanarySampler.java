package org.gatereel.core.rollout;

import java.util.random.RandomGenerator;

/**
 * Selects the requests of one route that go to the new version, evenly spaced.
 *
 * <p>Each request adds the ratio to a sum that starts at random, and is selected when the sum
 * reaches 1. The random start keeps the expected ratio exact for hosts with few requests, and keeps
 * hosts from selecting their first requests at the same time. The number that a host selects is off
 * by less than one, so that all hosts together stay near the ratio without communication.
 */
final class CanarySampler {
  private double sum;

  CanarySampler(RandomGenerator random) {
    this.sum = random.nextDouble();
  }

  /** Returns whether the next request is selected. */
  boolean sample(double ratio) {
    sum += ratio;
    if (sum < 1) {
      return false;
    }
    sum -= 1;
    return true;
  }
}
