package org.gatereel.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The engine's feed of cache events, which are delayed and may be lost. */
final class CacheEvents {
  private static final long LATE_NANOS = 500_000_000L;
  private static final double LOST = 0.05;
  private static final int MOST_KEPT = 10_000;

  private final SplittableRandom random;
  private final List<Dated> feed = new ArrayList<>();
  private long sequence;

  /** One event; a gap in the sequence is an event that was lost. */
  record CacheEvent(long sequence, boolean added, String block) {}

  private record Dated(long nanos, CacheEvent event) {}

  CacheEvents(long seed) {
    random = new SplittableRandom(seed);
  }

  synchronized void added(long block) {
    publish(true, block);
  }

  synchronized void evicted(long block) {
    publish(false, block);
  }

  private void publish(boolean added, long block) {
    sequence++;
    if (random.nextDouble() >= LOST) {
      feed.add(
          new Dated(System.nanoTime(), new CacheEvent(sequence, added, Long.toHexString(block))));
    }
    if (feed.size() > MOST_KEPT) {
      feed.remove(0);
    }
  }

  /** Returns the events after a sequence number that are old enough to be visible. */
  synchronized List<CacheEvent> after(long after) {
    long shownUntil = System.nanoTime() - LATE_NANOS;
    return feed.stream()
        .filter(dated -> dated.nanos() <= shownUntil && dated.event().sequence() > after)
        .map(Dated::event)
        .toList();
  }
}
