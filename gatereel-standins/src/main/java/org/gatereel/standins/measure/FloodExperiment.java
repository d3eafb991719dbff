package org.gatereel.standins.measure;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Measures small requests of nine accounts, with and without a flood of long requests of a tenth.
 */
final class FloodExperiment {
  private static final int FLOODER = 0;
  private static final int FLOOD_STREAMS = 96;
  private static final int FLOOD_TOKENS = 150;
  private static final int SMALL_TOKENS = 5;
  private static final double SMALL_A_SECOND = 20;
  private static final long MILLIS = 12_000;

  private final Bench bench;
  private final long seed;
  private final Result result;

  FloodExperiment(Bench bench, long seed, Result result) {
    this.bench = bench;
    this.seed = seed;
    this.result = result;
  }

  void run() throws Exception {
    small("warm-up");
    result.add("small requests alone: first token", small("alone"));
    AtomicBoolean stop = new AtomicBoolean();
    AtomicLong flooded = new AtomicLong();
    ExecutorService threads = Executors.newFixedThreadPool(FLOOD_STREAMS);
    for (int number = 0; number < FLOOD_STREAMS; number++) {
      int stream = number;
      threads.execute(() -> flood(stream, stop, flooded));
    }
    TimeUnit.SECONDS.sleep(2);
    long begin = System.nanoTime();
    long before = flooded.get();
    result.add("small requests in the flood: first token", small("flooded"));
    double seconds = (System.nanoTime() - begin) / 1e9;
    result.add("  the flooder's tokens a second", (flooded.get() - before) / seconds, "tokens/s");
    stop.set(true);
    threads.shutdown();
    threads.awaitTermination(30, TimeUnit.SECONDS);
  }

  private Histogram small(String run) throws Exception {
    Histogram first = Histograms.create();
    Histogram unused = Histograms.create();
    int failed =
        new OpenLoop(seed, SMALL_A_SECOND, MILLIS)
            .run(
                (number, due) -> {
                  var ending =
                      bench
                          .caller(1 + number % 9)
                          .ask(
                              "assistant",
                              run + number,
                              SMALL_TOKENS,
                              number,
                              new TimedWatcher(due, first, unused, unused));
                  if (!ending.whole()) {
                    throw new IOException(ending.problem());
                  }
                });
    result.add("  small requests refused or failed (" + run + ")", failed, "requests");
    return first;
  }

  private void flood(int stream, AtomicBoolean stop, AtomicLong tokens) {
    Histogram unused = Histograms.create();
    for (int number = 0; !stop.get(); number++) {
      TimedWatcher watcher =
          new TimedWatcher(System.nanoTime(), unused, unused, unused) {
            @Override
            void arrived(int offset, String engine) {
              tokens.incrementAndGet();
            }
          };
      try {
        String prompt = "flood " + stream + " " + number;
        bench.caller(FLOODER).ask("assistant", prompt, FLOOD_TOKENS, stream, watcher);
      } catch (Exception e) {
        // Requests of the flooding account are expected to be rejected.
      }
    }
  }
}
