package org.gatereel.core.speed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.gatereel.core.load.LearntTime;
import org.junit.jupiter.api.Test;

class LastingTimeTest {
  private static final double USUAL_MILLIS = 30;
  private static final long SAMPLE_INTERVAL_MILLIS = 240;

  /** Guards against targets that are avoided for long after a moment in which they were slow. */
  @Test
  void momentsInWhichATargetIsSlowDoNotBecomeItsLastingTime() {
    LastingTime time = new LastingTime();
    SplittableRandom random = new SplittableRandom(1);
    long now = 0;
    for (int sample = 0; sample < 500; sample++) {
      boolean slow = random.nextDouble() < 0.15;
      now += SAMPLE_INTERVAL_MILLIS;
      time.record(USUAL_MILLIS * (slow ? 2.5 : 1), now);
      assertTrue(sample < 20 || time.at(now).millis() < 1.25 * USUAL_MILLIS, "sample " + sample);
    }
    assertTrue(time.at(now).millis() < 1.1 * USUAL_MILLIS);
  }

  /** Guards against a target whose lasting change of speed is never noticed. */
  @Test
  void aLastingChangeIsFollowedInBothDirections() {
    LastingTime time = new LastingTime();
    for (int sample = 0; sample < 60; sample++) {
      time.record(USUAL_MILLIS, sample * SAMPLE_INTERVAL_MILLIS);
    }
    for (int sample = 60; sample < 160; sample++) {
      time.record(2 * USUAL_MILLIS, sample * SAMPLE_INTERVAL_MILLIS);
    }
    assertEquals(2 * USUAL_MILLIS, time.at(160 * SAMPLE_INTERVAL_MILLIS).millis(), 3);
    for (int sample = 160; sample < 180; sample++) {
      time.record(USUAL_MILLIS, sample * SAMPLE_INTERVAL_MILLIS);
    }
    assertEquals(USUAL_MILLIS, time.at(180 * SAMPLE_INTERVAL_MILLIS).millis(), 1);
  }

  /** Guards against a figure that is trusted for ever although its target was not used since. */
  @Test
  void theWeightOfAnUnusedTargetDecaysUntilItsTimeIsUnknown() {
    LastingTime time = new LastingTime();
    for (int sample = 0; sample < 10; sample++) {
      time.record(USUAL_MILLIS, 0);
    }
    assertEquals(10, time.at(0).weight(), 1e-9);
    assertEquals(5, time.at(20_000).weight(), 1e-9);
    assertFalse(time.at(100_000).isKnown());
    assertEquals(LearntTime.UNKNOWN, new LastingTime().at(0));
  }
}
