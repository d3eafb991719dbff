package org.gatereel.core.internal;

import java.util.ArrayDeque;
import java.util.Deque;

/** The latest pauses of this host; times include suspensions. */
final class PauseHistory {
  /** Only recent pauses explain the age of what a host still acts on. */
  private static final int MAX_PAUSES = 64;

  private final Deque<Pause> pauses = new ArrayDeque<>();

  private record Pause(long endedAt, long millis) {
    private long millisSince(long time) {
      return Math.max(0, Math.min(millis, endedAt - time));
    }
  }

  void add(long endedAt, long millis) {
    pauses.addLast(new Pause(endedAt, millis));
    if (pauses.size() > MAX_PAUSES) {
      pauses.removeFirst();
    }
  }

  /** Returns the length of the pauses since a time. */
  long millisSince(long time) {
    return pauses.stream().mapToLong(pause -> pause.millisSince(time)).sum();
  }

  /** Returns when the last pause ended; far in the past if there was none. */
  long lastEndedAt() {
    return pauses.isEmpty() ? Long.MIN_VALUE / 2 : pauses.getLast().endedAt();
  }
}
