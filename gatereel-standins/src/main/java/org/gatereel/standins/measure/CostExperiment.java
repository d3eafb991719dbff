package org.gatereel.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Measures the resource use of the first host when idle, and then for each token. */
final class CostExperiment {
  private static final long SETTLE_SECONDS = 15;
  private static final long IDLE_SECONDS = 20;
  private static final int STREAMS = 20;
  private static final int TOKENS = 300;
  private static final double MICROS_IN_NANOS = 1_000.0;
  private static final double MEGABYTE = 1_048_576.0;

  private final Bench bench;
  private final Result result;

  CostExperiment(Bench bench, Result result) {
    this.bench = bench;
    this.result = result;
  }

  private record Reading(double cpuNanos, double peerBytes, double peerMessages, long nanos) {}

  private Reading read() throws Exception {
    return new Reading(
        bench.metric(0, "process_cpu_time_ns_total"),
        bench.metric(0, "gatereel_peer_bytes_sent"),
        bench.metric(0, "gatereel_peer_messages_sent"),
        System.nanoTime());
  }

  void run() throws Exception {
    int hosts = bench.hosts().size();
    read();
    TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
    Reading begin = read();
    TimeUnit.SECONDS.sleep(IDLE_SECONDS);
    Reading end = read();
    double seconds = (end.nanos() - begin.nanos()) / 1e9;
    String idle = "idle, " + hosts + " hosts: ";
    double share = (end.cpuNanos() - begin.cpuNanos()) / (end.nanos() - begin.nanos());
    result.add(idle + "share of a core", 100 * share, "in 100");
    result.add(idle + "bytes to peers", (end.peerBytes() - begin.peerBytes()) / seconds, "bytes/s");
    result.add(
        idle + "messages to peers",
        (end.peerMessages() - begin.peerMessages()) / seconds,
        "messages/s");
    memory(idle);
    stream();
    loaded();
  }

  private void memory(String when) throws Exception {
    double used = bench.metric(0, "jvm_memory_used_bytes");
    result.add(when + "heap and other memory of the JVM in use", used / MEGABYTE, "MiB");
  }

  private void loaded() throws Exception {
    Reading begin = read();
    stream();
    Reading end = read();
    double tokens = STREAMS * TOKENS;
    double seconds = (end.nanos() - begin.nanos()) / 1e9;
    result.add("loaded: tokens a second through the host", tokens / seconds, "tokens/s");
    double micros = (end.cpuNanos() - begin.cpuNanos()) / MICROS_IN_NANOS / tokens;
    result.add("loaded: processor time for a token at the owner", micros, "microseconds");
    result.add(
        "loaded: bytes to peers for a token",
        (end.peerBytes() - begin.peerBytes()) / tokens,
        "bytes");
    memory("loaded: ");
  }

  private void stream() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(STREAMS);
    Histogram unused = Histograms.create();
    List<Future<?>> running = new ArrayList<>();
    for (int number = 0; number < STREAMS; number++) {
      int stream = number;
      running.add(
          threads.submit(
              () ->
                  bench
                      .caller(stream % 10)
                      .ask(
                          "assistant",
                          "cost " + stream + " " + System.nanoTime(),
                          TOKENS,
                          0,
                          new TimedWatcher(System.nanoTime(), unused, unused, unused))));
    }
    for (Future<?> one : running) {
      one.get();
    }
    threads.shutdown();
  }
}
