package org.gatereel.daemon.events;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** A bounded buffer of the latest events; the oldest is evicted when it is full. */
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

  /** Returns the entries since a time, of all subjects if {@code subject} is empty. */
  synchronized List<TimelineEntry> since(long wallClockMillis, String subject) {
    return entries.stream()
        .filter(entry -> entry.wallClockMillis() >= wallClockMillis)
        .filter(entry -> subject.isEmpty() || entry.subject().equals(subject))
        .toList();
  }
}
