package org.gatereel.secondreview;

/** The steady clock. */
final class Clock {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private Clock() {}

  static long millis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  static void sleepUntil(long millis) throws InterruptedException {
    long remaining = millis - millis();
    if (remaining > 0) {
      Thread.sleep(remaining);
    }
  }
}
