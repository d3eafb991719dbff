package org.gatereel.standins.measure;

import java.util.Map;
import org.HdrHistogram.Histogram;

/** Makes edits at one host and measures the time until each is in force on all hosts. */
final class EditsExperiment {
  private static final int EDITS = 30;

  private final Bench bench;
  private final Result result;

  EditsExperiment(Bench bench, Result result) {
    this.bench = bench;
    this.result = result;
  }

  void run() throws Exception {
    Histogram accepted = Histograms.create();
    Histogram everywhere = Histograms.create();
    for (int number = 0; number < EDITS; number++) {
      int host = number % bench.hosts().size();
      long begin = System.nanoTime();
      Map<String, String> cells = Map.of("retry_percent", Integer.toString(number));
      long revision = bench.set(host, "service/readings", cells);
      TimedWatcher.record(accepted, System.nanoTime() - begin);
      bench.awaitRevision(revision);
      TimedWatcher.record(everywhere, System.nanoTime() - begin);
    }
    int hosts = bench.hosts().size();
    result.add("edit, from request to accepted", accepted);
    result.add("edit, from request to seen in force on all " + hosts + " hosts", everywhere);
  }
}
