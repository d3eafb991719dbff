package org.gatereel.core.internal;

import java.util.OptionalLong;
import java.util.PriorityQueue;

/** A queue of tasks by deadline. The driver of the core supplies the time. */
public final class TimerQueue {
  private static final long DELAY_PERIOD_MILLIS = 1_000;

  private final PriorityQueue<Timer> queue = new PriorityQueue<>(TimerQueue::compare);
  private final RecentMaximum delays = new RecentMaximum(DELAY_PERIOD_MILLIS);
  private long sequence;

  /** A scheduled task that can be cancelled. */
  public static final class Timer {
    private final long deadline;
    private final long sequence;
    private Runnable task;

    private Timer(long deadline, long sequence, Runnable task) {
      this.deadline = deadline;
      this.sequence = sequence;
      this.task = task;
    }

    /** Cancels the task; has no effect if it has run. */
    public void cancel() {
      task = null;
    }
  }

  private static int compare(Timer first, Timer second) {
    int byDeadline = Long.compare(first.deadline, second.deadline);
    return byDeadline != 0 ? byDeadline : Long.compare(first.sequence, second.sequence);
  }

  /** Adds a task to run at {@code deadline}, a time in milliseconds. */
  public Timer add(long deadline, Runnable task) {
    Timer timer = new Timer(deadline, sequence++, task);
    queue.add(timer);
    return timer;
  }

  /** Runs the tasks that are due at {@code now}, in the order of their deadlines. */
  public void runDue(long now) {
    while (!queue.isEmpty() && queue.peek().deadline <= now) {
      Timer timer = queue.poll();
      Runnable task = timer.task;
      if (task != null) {
        delays.record(now - timer.deadline, now);
        task.run();
      }
    }
  }

  /**
   * Returns by how much tasks ran after their deadlines within the last one to two seconds, at
   * most, in milliseconds. By as much this host may have delayed what it measures.
   */
  public long recentDelayMillis(long now) {
    return delays.valueAt(now);
  }

  /** Returns the deadline of the next task that was not cancelled. */
  public OptionalLong nextDeadline() {
    while (!queue.isEmpty() && queue.peek().task == null) {
      queue.poll();
    }
    return queue.isEmpty() ? OptionalLong.empty() : OptionalLong.of(queue.peek().deadline);
  }
}
