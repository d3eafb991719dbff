package org.gatereel.core.rollout;

import java.util.random.RandomGenerator;

/**
 * Draws the requests of one route that go to the new version, spread evenly.
 *
 * <p>Each request adds the share; what passes a whole is drawn. Since the first whole lies at a
 * random place, the number that a host draws is the share of its requests in the mean also where it
 * has few, and off by less than one, so that all hosts together stay near the share without a word
 * between them, however their first requests come together.
 */
final class CanarySampler {
  private double sum;

  CanarySampler(RandomGenerator random) {
    this.sum = random.nextDouble();
  }

  boolean sample(double share) {
    sum += share;
    if (sum < 1) {
      return false;
    }
    sum -= 1;
    return true;
  }
}
