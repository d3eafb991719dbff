package org.gatereel.secondreview;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, in the order in which it was seen. */
final class Record {
  private final long startedAt = Clock.millis();
  private final List<String> lines = new ArrayList<>();

  synchronized void add(String line) {
    addAt(Clock.millis(), line);
  }

  synchronized void addAt(long millis, String line) {
    lines.add("%8.3f %s".formatted((millis - startedAt) / 1_000.0, line));
  }

  synchronized void write(Path file) throws IOException {
    List<String> sorted = new ArrayList<>(lines);
    sorted.sort(null);
    Files.write(file, sorted);
  }
}
