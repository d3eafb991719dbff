package org.gatereel.secondreview;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** What was sent, answered and run, in the order in which it was seen. */
final class Record {
  static final int HELD = 0;

  /** Differs from 1, with which a Java process ends for many other reasons. */
  static final int BROKEN = 10;

  static final int NOT_RUN = 2;

  private final long startedAt = Clock.millis();
  private final List<String> lines = new ArrayList<>();

  synchronized void add(String line) {
    addAt(Clock.millis(), line);
  }

  synchronized void addAt(long millis, String line) {
    lines.add("%8.3f %s".formatted((millis - startedAt) / 1_000.0, line));
  }

  /** Plays a case; returns {@link #HELD}, {@link #BROKEN} or {@link #NOT_RUN}. */
  int judge(Callable<Boolean> play) {
    try {
      return play.call() ? HELD : BROKEN;
    } catch (Exception e) {
      add("the case could not run: " + e);
      System.err.println("the case could not run: " + e);
      return NOT_RUN;
    }
  }

  synchronized void write(Path file) throws IOException {
    List<String> sorted = new ArrayList<>(lines);
    sorted.sort(null);
    Files.write(file, sorted);
  }
}
