package org.gatereel.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Starts tasks at random times, independent of earlier tasks, so that queueing time is measured.
 */
final class OpenLoop {
  private final SplittableRandom random;
  private final double perSecond;
  private final long durationNanos;

  /** A task and the time at which it is due. */
  interface Work {
    void run(int number, long dueNanos) throws Exception;
  }

  OpenLoop(long seed, double perSecond, long durationMillis) {
    this.random = new SplittableRandom(seed);
    this.perSecond = perSecond;
    this.durationNanos = TimeUnit.MILLISECONDS.toNanos(durationMillis);
  }

  /** Runs the tasks and returns how many failed. */
  int run(Work work) throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    List<Future<Boolean>> all = new ArrayList<>();
    long begin = System.nanoTime();
    long due = begin;
    while (due - begin < durationNanos) {
      TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
      int number = all.size();
      long dueAt = due;
      all.add(threads.submit(() -> succeeds(work, number, dueAt)));
      double wait = -Math.log(1 - random.nextDouble()) / perSecond;
      due += (long) (wait * TimeUnit.SECONDS.toNanos(1));
    }
    int failed = 0;
    for (Future<Boolean> one : all) {
      failed += one.get() ? 0 : 1;
    }
    threads.shutdown();
    return failed;
  }

  private static boolean succeeds(Work work, int number, long dueNanos) {
    try {
      work.run(number, dueNanos);
      return true;
    } catch (Exception e) {
      return false;
    }
  }
}
