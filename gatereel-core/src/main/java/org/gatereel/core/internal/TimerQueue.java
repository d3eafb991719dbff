package org.gatereel.core.internal;

import java.util.Comparator;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/** Deadlines in order; whoever drives the core asks for the next one and says what time it is. */
public final class TimerQueue {
  private final PriorityQueue<Timer> queue =
      new PriorityQueue<>(
          Comparator.comparingLong((Timer timer) -> timer.deadline)
              .thenComparingLong(timer -> timer.sequence));
  private long sequence;

  /** A deadline that can be called off. */
  public static final class Timer {
    private final long deadline;
    private final long sequence;
    private Runnable task;

    private Timer(long deadline, long sequence, Runnable task) {
      this.deadline = deadline;
      this.sequence = sequence;
      this.task = task;
    }

    /** Calls the deadline off; harmless if it has passed. */
    public void cancel() {
      task = null;
    }
  }

  /** Adds a task that is to run once {@code deadline} has come, in milliseconds. */
  public Timer add(long deadline, Runnable task) {
    Timer timer = new Timer(deadline, sequence++, task);
    queue.add(timer);
    return timer;
  }

  /** Runs what is due at {@code now}, in the order of the deadlines. */
  public void runDue(long now) {
    while (!queue.isEmpty() && queue.peek().deadline <= now) {
      Runnable task = queue.poll().task;
      if (task != null) {
        task.run();
      }
    }
  }

  /** Returns the next deadline that was not called off. */
  public OptionalLong nextDeadline() {
    while (!queue.isEmpty() && queue.peek().task == null) {
      queue.poll();
    }
    return queue.isEmpty() ? OptionalLong.empty() : OptionalLong.of(queue.peek().deadline);
  }
}
