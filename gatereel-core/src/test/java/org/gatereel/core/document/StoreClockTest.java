package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against rows with times of a clock that the store no longer has. */
class StoreClockTest {
  private final StoreClock clock = new StoreClock();

  @Test
  void followsAClockThatHasGoneBack() {
    clock.record(1_000_000, 500);
    clock.record(940_000, 1_100);

    assertEquals(938_900, clock.offsetMillis());
  }

  @Test
  void readingThatWasSentEarlierAndArrivesLateIsIgnored() {
    clock.record(940_000, 1_100);
    clock.record(1_000_000, 500);

    assertEquals(938_900, clock.offsetMillis());
  }
}
