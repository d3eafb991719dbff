package org.gatereel.standins.platform;

import java.util.concurrent.atomic.AtomicInteger;

/** The faults of the platform that are switched on by request. */
public final class Faults {
  private final AtomicInteger answersToLose = new AtomicInteger();
  private volatile boolean down;
  private volatile long slowMillis;

  /**
   * Asks for faults; what is not named is off afterwards.
   *
   * @param down whether every request is refused
   * @param slowMillis how long each answer is held back
   * @param loseAnswers how many transactions take effect but get no answer
   */
  public record Order(boolean down, long slowMillis, int loseAnswers) {}

  void set(Order order) {
    down = order.down();
    slowMillis = order.slowMillis();
    answersToLose.set(order.loseAnswers());
  }

  boolean isDown() {
    return down;
  }

  long slowMillis() {
    return slowMillis;
  }

  /** Returns whether the answer of this transaction is to be lost. */
  boolean takeLostAnswer() {
    return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }
}
