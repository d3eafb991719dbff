package org.gatereel.proofs.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Steps in the order of their virtual time, in microseconds. */
final class VirtualTime {
  private static final long MICROS = 1_000;

  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(
          Comparator.comparingLong((Step step) -> step.micros)
              .thenComparingLong(step -> step.sequence));
  private long now;
  private long sequence;

  private record Step(long micros, long sequence, Runnable task) {}

  long micros() {
    return now;
  }

  long millis() {
    return now / MICROS;
  }

  void after(long micros, Runnable task) {
    steps.add(new Step(now + micros, sequence++, task));
  }

  void atMillis(long millis, Runnable task) {
    steps.add(new Step(Math.max(now, millis * MICROS), sequence++, task));
  }

  /** Runs all steps up to a time, in milliseconds. */
  void runUntil(long millis) {
    while (!steps.isEmpty() && steps.peek().micros <= millis * MICROS) {
      Step step = steps.poll();
      now = step.micros;
      step.task.run();
    }
    now = Math.max(now, millis * MICROS);
  }
}
