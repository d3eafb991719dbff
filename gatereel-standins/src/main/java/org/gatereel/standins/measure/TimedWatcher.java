package org.gatereel.standins.measure;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.gatereel.standins.ChainedTokens;
import org.gatereel.standins.load.GenerationCaller;

/** Measures first token, gaps, and the gaps in which the engine changed. */
class TimedWatcher implements GenerationCaller.Watcher {
  private final Histogram firstToken;
  private final Histogram gaps;
  private final Histogram changes;
  private final long start;
  private long lastNanos;
  private String lastEngine = "";

  /** Starts the clock at {@code startNanos}, when the request was due and not when it was sent. */
  TimedWatcher(long startNanos, Histogram firstToken, Histogram gaps, Histogram changes) {
    this.start = startNanos;
    this.firstToken = firstToken;
    this.gaps = gaps;
    this.changes = changes;
  }

  static void record(Histogram histogram, long nanos) {
    synchronized (histogram) {
      histogram.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
    }
  }

  @Override
  public void token(int offset, String id, String token) {
    long now = System.nanoTime();
    String engine = ChainedTokens.engine(token);
    if (lastNanos == 0) {
      record(firstToken, now - start);
    } else if (engine.equals(lastEngine)) {
      record(gaps, now - lastNanos);
    } else {
      record(changes, now - lastNanos);
    }
    lastNanos = now;
    lastEngine = engine;
    arrived(offset, engine);
  }

  /** Called for each token. */
  void arrived(int offset, String engine) {
    // Overridden to act at an offset.
  }

  @Override
  public void reconnected(String host, String why) {
    // The gap includes the time of the reconnection.
  }
}
