package org.gatereel.core.generation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.gatereel.core.target.TokenGapEstimator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SuspicionPolicyTest {
  private static final int GAPS = 100_000;
  private static final double MEDIAN_MILLIS = 26;
  private static final double LOG_STANDARD_DEVIATION = 0.5;
  private static final long SEED = 3;

  /** Draws gaps with a log-normal tail: one in a thousand is over 120 ms. */
  private static long gap(Random random) {
    return Math.round(MEDIAN_MILLIS * Math.exp(LOG_STANDARD_DEVIATION * random.nextGaussian()));
  }

  @ParameterizedTest
  @EnumSource(SuspicionPolicy.class)
  void neverSuspectsALiveEngineWithAHeavyTail(SuspicionPolicy policy) {
    Random random = new Random(SEED);
    TokenGapEstimator gaps = new TokenGapEstimator();
    int suspected = 0;
    for (int index = 0; index < GAPS; index++) {
      long gap = gap(random);
      suspected += gap >= policy.silenceMillis(gaps) ? 1 : 0;
      gaps.addGap(gap);
    }
    assertEquals(0, suspected);
  }

  @Test
  void singleLongGapDoesNotRaiseTheLimit() {
    TokenGapEstimator gaps = new TokenGapEstimator();
    for (int index = 0; index < 1_000; index++) {
      gaps.addGap((long) MEDIAN_MILLIS);
    }
    long before = SuspicionPolicy.THRIFTY.silenceMillis(gaps);
    gaps.addGap(7_000);
    assertEquals(before, SuspicionPolicy.THRIFTY.silenceMillis(gaps));
  }

  @Test
  void eagerPolicySuspectsASilentEngineWithinASecond() {
    Random random = new Random(SEED);
    TokenGapEstimator gaps = new TokenGapEstimator();
    for (int index = 0; index < GAPS; index++) {
      gaps.addGap(gap(random));
    }
    assertTrue(SuspicionPolicy.EAGER.silenceMillis(gaps) < 1_000);
  }
}
