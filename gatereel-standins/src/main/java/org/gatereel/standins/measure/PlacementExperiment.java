package org.gatereel.standins.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Runs the same load under each placement policy. */
final class PlacementExperiment {
  private static final List<String> POLICIES =
      List.of("round-robin", "least-loaded", "two-choices", "prefix-affinity");
  private static final long MILLIS = 10_000;
  private static final int TOKENS = 20;
  private static final int PREFIXES = 24;
  private static final int WORDS = 400;
  private static final double HALF = 0.5;
  private static final double NINE_TENTHS = 0.9;
  private static final double SECONDS_A_STREAM = 0.56;
  private static final int SLOTS = 4;

  private final Bench bench;
  private final long seed;
  private final Result result;

  PlacementExperiment(Bench bench, long seed, Result result) {
    this.bench = bench;
    this.seed = seed;
    this.result = result;
  }

  void run() throws Exception {
    run("two-choices", HALF, "warm-up");
    for (double share : new double[] {HALF, NINE_TENTHS}) {
      for (String policy : POLICIES) {
        Histogram first = run(policy, share, policy + share);
        result.add(String.format(Locale.ROOT, "%s at %.1f: first token", policy, share), first);
        result.add("  prompt tokens computed for a request", lastPromptTokens, "tokens");
        result.add("  busiest engine against the mean", lastImbalance, "times");
        result.add("  refused or failed", lastFailed, "requests");
      }
    }
  }

  private double lastPromptTokens;
  private double lastImbalance;
  private int lastFailed;

  private Histogram run(String policy, double share, String run) throws Exception {
    bench.awaitRevision(bench.set(0, "service/assistant", Map.of("placement", policy)));
    double capacity = bench.engineNames().size() * SLOTS / SECONDS_A_STREAM;
    Histogram first = Histograms.create();
    Histogram gaps = Histograms.create();
    Histogram changes = Histograms.create();
    List<long[]> before = bench.countersByEngine();
    int[] asked = new int[1];
    lastFailed =
        new OpenLoop(seed, capacity * share, MILLIS)
            .run(
                (number, due) -> {
                  synchronized (asked) {
                    asked[0]++;
                  }
                  ask(run, number, new TimedWatcher(due, first, gaps, changes));
                });
    List<Long> started = new ArrayList<>();
    long prompt = 0;
    List<long[]> after = bench.countersByEngine();
    for (int engine = 0; engine < after.size(); engine++) {
      prompt += after.get(engine)[0] - before.get(engine)[0];
      started.add(after.get(engine)[2] - before.get(engine)[2]);
    }
    lastPromptTokens = (double) prompt / asked[0];
    double mean = started.stream().mapToLong(Long::longValue).average().orElse(1);
    lastImbalance = started.stream().mapToLong(Long::longValue).max().orElse(0) / mean;
    return first;
  }

  private void ask(String run, int number, TimedWatcher watcher) throws Exception {
    StringBuilder prompt = new StringBuilder();
    for (int word = 0; word < WORDS; word++) {
      prompt.append(run).append(number % PREFIXES).append('w').append(word).append(' ');
    }
    prompt.append("question ").append(number);
    var ending =
        bench.caller(number % 10).ask("assistant", prompt.toString(), TOKENS, number, watcher);
    if (!ending.whole()) {
      throw new IOException(ending.problem());
    }
  }
}
