package org.gatereel.core.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks how suspensions are derived from the steady clock and the time of day. */
class SuspensionDetectorTest {
  private static final long STEADY_MILLIS = 5_000;
  private static final long TIME_OF_DAY_MILLIS = 1_790_000_000_000L;

  private final SuspensionDetector detector = new SuspensionDetector();
  private long totalLostMillis;

  private long at(long steadyMillis, long timeOfDayMillis) {
    long lostMillis =
        detector.observe(STEADY_MILLIS + steadyMillis, TIME_OF_DAY_MILLIS + timeOfDayMillis);
    totalLostMillis += lostMillis;
    return lostMillis;
  }

  @Test
  void equalClocksReportNoSuspension() {
    for (long time = 0; time < 10_000; time += 100) {
      assertEquals(0, at(time, time));
    }
  }

  @Test
  void reportsTimeThatOnlyTheTimeOfDayCounts() {
    at(0, 0);

    assertEquals(6_000, at(10, 6_010));
    assertEquals(0, at(20, 6_020));
  }

  @Test
  void reportsAForwardStepOnceAndItsReversalNotAtAll() {
    at(0, 0);

    assertEquals(2_000, at(100, 2_100));
    assertEquals(0, at(200, 200));
    assertEquals(0, at(300, 300));
  }

  @Test
  void reportsASuspensionAfterABackwardStep() {
    at(0, 0);
    at(100, -1_900);

    assertEquals(3_000, at(200, 1_200));
  }

  @Test
  void accumulatesShortSuspensions() {
    at(0, 0);
    for (long index = 1; index <= 10; index++) {
      at(index, index * 151);
    }

    assertTrue(
        totalLostMillis >= 1_500 - SuspensionDetector.MIN_SUSPENSION_MILLIS,
        "lost: " + totalLostMillis);
  }
}
