package org.gatereel.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CanarySamplerTest {
  private static int countSelected(int hosts, int requests, double ratio, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int selected = 0;
    for (int host = 0; host < hosts; host++) {
      CanarySampler sampler = new CanarySampler(random);
      for (int request = 0; request < requests; request++) {
        selected += sampler.sample(ratio) ? 1 : 0;
      }
    }
    return selected;
  }

  @Test
  void allHostsTogetherStayNearTheRatioEvenIfEachHasFewRequests() {
    for (long seed = 0; seed < 200; seed++) {
      int selected = countSelected(73, 4, 0.04, seed);

      assertTrue(selected <= 0.1 * 73 * 4, "selected: " + selected + " seed: " + seed);
    }
  }

  @Test
  void theFirstRequestsOfAllHostsAreNotSelectedTogether() {
    int most = 0;
    for (long seed = 0; seed < 200; seed++) {
      most = Math.max(most, countSelected(300, 1, 0.04, seed));
    }

    assertTrue(most <= 30, "most: " + most);
  }

  @Test
  void theMeanOfSelectedRequestsIsTheRatio() {
    int selected = 0;
    for (long seed = 0; seed < 400; seed++) {
      selected += countSelected(10, 10, 0.05, seed);
    }

    assertEquals(400 * 10 * 10 * 0.05, selected, 100);
  }
}
