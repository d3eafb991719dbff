package org.gatereel.standins.platform;

import java.util.concurrent.atomic.AtomicInteger;

/** The faults that the platform stand-in injects. */
public final class Faults {
  private final AtomicInteger responsesToLose = new AtomicInteger();
  private volatile boolean down;
  private volatile long slowMillis;

  /**
   * Sets all faults; a field that is missing disables its fault.
   *
   * @param down whether every request is rejected
   * @param slowMillis how long each response is delayed
   * @param loseAnswers how many transactions take effect but receive no response
   */
  public record Order(boolean down, long slowMillis, int loseAnswers) {}

  void set(Order order) {
    down = order.down();
    slowMillis = order.slowMillis();
    responsesToLose.set(order.loseAnswers());
  }

  boolean isDown() {
    return down;
  }

  long slowMillis() {
    return slowMillis;
  }

  /** Returns whether to omit the response to this transaction. */
  boolean takeLostResponse() {
    return responsesToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }
}
