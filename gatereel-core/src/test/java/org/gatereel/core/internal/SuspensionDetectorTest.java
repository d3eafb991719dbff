package org.gatereel.core.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A host's two clocks, of which one stands still while the host is suspended. */
class SuspensionDetectorTest {
  private static final long STEADY = 5_000;
  private static final long DAY = 1_790_000_000_000L;

  private final SuspensionDetector watch = new SuspensionDetector();
  private long lost;

  private long at(long steady, long day) {
    long found = watch.observe(STEADY + steady, DAY + day);
    lost += found;
    return found;
  }

  @Test
  void clocksThatGoTogetherLoseNothing() {
    for (long time = 0; time < 10_000; time += 100) {
      assertEquals(0, at(time, time));
    }
  }

  @Test
  void whatOnlyTheTimeOfDayCountsIsLost() {
    at(0, 0);

    assertEquals(6_000, at(10, 6_010));
    assertEquals(0, at(20, 6_020));
  }

  @Test
  void aStepForwardCountsOnceAndItsReturnNotAtAll() {
    at(0, 0);

    assertEquals(2_000, at(100, 2_100));
    assertEquals(0, at(200, 200));
    assertEquals(0, at(300, 300));
  }

  @Test
  void aSuspensionAfterAStepBackIsFound() {
    at(0, 0);
    at(100, -1_900);

    assertEquals(3_000, at(200, 1_200));
  }

  @Test
  void shortSuspensionsAddUp() {
    at(0, 0);
    for (long turn = 1; turn <= 10; turn++) {
      at(turn, turn * 151);
    }

    assertTrue(lost >= 1_500 - SuspensionDetector.MIN_SUSPENSION_MILLIS, "lost: " + lost);
  }
}
