package org.gatereel.standins.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Stops engines during generations and measures the gap at the caller. */
final class ResumeExperiment {
  private static final int CALLERS = 8;
  private static final int ROUNDS = 4;
  private static final int SPREAD = 20;
  private static final int AFTER = 30;
  private static final int FLOOR_RUNS = 40;
  private static final int BUSY_TOKENS = 200;
  private static final int STEP_MICROS = 26_000;

  private final Bench bench;
  private final SplittableRandom random;
  private final Result result;
  private final Histogram unused = Histograms.create();

  ResumeExperiment(Bench bench, long seed, Result result) {
    this.bench = bench;
    this.random = new SplittableRandom(seed);
    this.result = result;
  }

  void run() throws Exception {
    runWith("eager", "reset", 40);
    for (int length : new int[] {40, 200}) {
      floor(length);
      for (String policy : List.of("eager", "thrifty")) {
        for (String death : List.of("reset", "freeze")) {
          Histogram gaps = runWith(policy, death, length);
          result.add("resume, " + policy + ", " + death + ", length about " + length, gaps);
        }
      }
    }
  }

  /** Sends requests to busy engines at times unrelated to their steps, as resumes do. */
  private void floor(int length) throws Exception {
    Histogram first = Histograms.create();
    DirectEngine direct = new DirectEngine(bench);
    List<String> names = bench.engineNames();
    ExecutorService threads = Executors.newFixedThreadPool(names.size());
    for (String engine : names) {
      threads.execute(() -> keepBusy(engine));
    }
    for (int run = 0; run < FLOOR_RUNS; run++) {
      List<String> tokens = new ArrayList<>();
      for (int number = 0; number < length; number++) {
        tokens.add("floor" + run + ":" + number + ":" + random.nextInt());
      }
      TimeUnit.MICROSECONDS.sleep(random.nextInt(STEP_MICROS));
      direct.ask(names.get(run % names.size()), "floor", tokens, 1, first, unused);
    }
    threads.shutdown();
    threads.awaitTermination(BUSY_TOKENS, TimeUnit.SECONDS);
    result.add("floor: a busy engine's own first token after a prefix of " + length, first);
  }

  private void keepBusy(String engine) {
    try {
      new DirectEngine(bench).ask(engine, "busy", List.of(), BUSY_TOKENS, unused, unused);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private Histogram runWith(String policy, String death, int length) throws Exception {
    bench.awaitRevision(bench.set(0, "service/assistant", Map.of("suspicion", policy)));
    Histogram changes = Histograms.create();
    ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
    for (int round = 0; round < ROUNDS; round++) {
      List<Future<Void>> running = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        int at = length + random.nextInt(SPREAD);
        // One in four stops its engine, which may interrupt other generations too.
        boolean breaks = caller % 4 == 0;
        int account = caller;
        String prompt = "resume " + policy + death + length + " " + round + " " + caller;
        running.add(threads.submit(() -> ask(account, prompt, at, breaks, death, changes)));
      }
      for (Future<Void> one : running) {
        one.get();
      }
    }
    threads.shutdown();
    return changes;
  }

  private Void ask(
      int account, String prompt, int at, boolean breaks, String death, Histogram changes)
      throws Exception {
    List<String> frozen = Collections.synchronizedList(new ArrayList<>());
    TimedWatcher watcher =
        new TimedWatcher(System.nanoTime(), unused, unused, changes) {
          @Override
          void arrived(int offset, String engine) {
            if (breaks && offset == at) {
              tell(engine, death);
              frozen.add(engine);
            }
          }
        };
    var ending = bench.caller(account).ask("assistant", prompt, at + AFTER, account, watcher);
    if (!ending.whole()) {
      throw new IOException("not whole: " + ending);
    }
    for (String engine : frozen) {
      tell(engine, "thaw");
    }
    return null;
  }

  private void tell(String engine, String command) {
    try {
      bench.tell(engine, command);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
