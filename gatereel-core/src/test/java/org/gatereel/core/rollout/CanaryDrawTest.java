package org.gatereel.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CanaryDrawTest {
  private static int drawn(int hosts, int requests, double share, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int drawn = 0;
    for (int host = 0; host < hosts; host++) {
      CanarySampler draw = new CanarySampler(random);
      for (int request = 0; request < requests; request++) {
        drawn += draw.sample(share) ? 1 : 0;
      }
    }
    return drawn;
  }

  @Test
  void allHostsTogetherStayNearTheShareAlsoWhereEachHasFewRequests() {
    for (long seed = 0; seed < 200; seed++) {
      int drawn = drawn(73, 4, 0.04, seed);

      assertTrue(drawn <= 0.1 * 73 * 4, "drawn: " + drawn + " seed: " + seed);
    }
  }

  @Test
  void theFirstRequestsOfAllHostsAtOnceAreNoBurstForTheNewVersion() {
    int most = 0;
    for (long seed = 0; seed < 200; seed++) {
      most = Math.max(most, drawn(300, 1, 0.04, seed));
    }

    assertTrue(most <= 30, "most: " + most);
  }

  @Test
  void inTheMeanTheShareIsDrawn() {
    int drawn = 0;
    for (long seed = 0; seed < 400; seed++) {
      drawn += drawn(10, 10, 0.05, seed);
    }

    assertEquals(400 * 10 * 10 * 0.05, drawn, 100);
  }
}
