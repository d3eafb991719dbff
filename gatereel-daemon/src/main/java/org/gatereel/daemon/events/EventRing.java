package org.gatereel.daemon.events;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The latest events of this process, for the time line. */
final class EventRing {
  private final int capacity;
  private final Deque<TimelineEntry> entries = new ArrayDeque<>();

  EventRing(int capacity) {
    this.capacity = capacity;
  }

  synchronized void add(TimelineEntry entry) {
    if (entries.size() == capacity) {
      entries.removeFirst();
    }
    entries.addLast(entry);
  }

  /** Returns the entries at or after a time; of one subject unless {@code subject} is empty. */
  synchronized List<TimelineEntry> since(long wallClockMillis, String subject) {
    return entries.stream()
        .filter(entry -> entry.wallClockMillis() >= wallClockMillis)
        .filter(entry -> subject.isEmpty() || entry.subject().equals(subject))
        .toList();
  }
}
