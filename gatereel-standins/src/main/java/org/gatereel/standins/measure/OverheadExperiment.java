package org.gatereel.standins.measure;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.HdrHistogram.Histogram;

/** Compares requests through an entry host with requests sent directly to the target. */
final class OverheadExperiment {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int WARM_UP = 200;
  private static final int CALLS = 500;
  private static final int ONCE_CALLS = 100;
  private static final int STREAMS = 6;
  private static final int TOKENS = 60;

  private final Bench bench;
  private final Result result;

  OverheadExperiment(Bench bench, Result result) {
    this.bench = bench;
    this.result = result;
  }

  void run() throws Exception {
    calls(WARM_UP, bench.service() + "/call", false);
    calls(WARM_UP, bench.hosts().get(0) + "/v1/calls/readings", false);
    result.add("call, to the service itself", calls(CALLS, bench.service() + "/call", false));
    result.add(
        "call that may be repeated, through a host",
        calls(CALLS, bench.hosts().get(0) + "/v1/calls/readings", false));
    result.add(
        "call that may not be repeated, through a host, one at a time",
        calls(ONCE_CALLS, bench.hosts().get(0) + "/v1/calls/points", true));
    streams();
  }

  private Histogram calls(int count, String url, boolean once) throws IOException {
    Histogram times = Histograms.create();
    for (int number = 0; number < count; number++) {
      byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
      Request.Builder request =
          new Request.Builder()
              .url(url)
              .header("Authorization", "Bearer " + Bench.accountKey(1))
              .post(RequestBody.create(body, JSON));
      if (once) {
        request.header("Idempotency-Key", "overhead-" + number);
      }
      long begin = System.nanoTime();
      bench.send(request);
      TimedWatcher.record(times, System.nanoTime() - begin);
    }
    return times;
  }

  private void streams() throws Exception {
    Histogram firstDirect = Histograms.create();
    Histogram gapsDirect = Histograms.create();
    Histogram first = Histograms.create();
    Histogram gaps = Histograms.create();
    DirectEngine direct = new DirectEngine(bench);
    for (String engine : bench.engineNames()) {
      // Discards the first streams, which are slow because the stand-in's JVM is cold.
      direct.ask(engine, "warm-up", List.of(), TOKENS, Histograms.create(), Histograms.create());
    }
    for (int run = 0; run < STREAMS; run++) {
      String engine = bench.engineNames().get(run % bench.engineNames().size());
      direct.ask(engine, "direct " + run, List.of(), TOKENS, firstDirect, gapsDirect);
      TimedWatcher watcher = new TimedWatcher(System.nanoTime(), first, gaps, Histograms.create());
      bench.caller(1).ask("assistant", "through " + run, TOKENS, 0, watcher);
    }
    result.add("first token, from the engine itself", firstDirect);
    result.add("first token, through a host", first);
    result.add("gap between tokens, from the engine itself", gapsDirect);
    result.add("gap between tokens, through a host", gaps);
  }
}
