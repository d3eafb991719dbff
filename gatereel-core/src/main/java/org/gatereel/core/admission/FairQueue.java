package org.gatereel.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.gatereel.core.model.AccountId;

/**
 * A queue with start-time fair queueing: while several accounts have waiting requests, each is
 * served in proportion to its weight.
 */
public final class FairQueue<T> {
  private final PriorityQueue<Entry<T>> waiting =
      new PriorityQueue<>(
          Comparator.comparingDouble((Entry<T> entry) -> entry.start)
              .thenComparingLong(entry -> entry.sequence));
  private final Map<AccountId, Double> finishByAccount = new HashMap<>();
  private double virtualTime;
  private long sequence;

  /** A queued request, for {@link #remove}. */
  public static final class Entry<T> {
    private final T item;
    private final double start;
    private final long sequence;

    private Entry(T item, double start, long sequence) {
      this.item = item;
      this.start = start;
      this.sequence = sequence;
    }

    public T item() {
      return item;
    }
  }

  /**
   * Adds a request.
   *
   * @param cost in any unit that is the same for all requests of this queue
   */
  public Entry<T> add(AccountId account, int weight, double cost, T item) {
    double start = Math.max(virtualTime, finishByAccount.getOrDefault(account, 0.0));
    finishByAccount.put(account, start + cost / weight);
    Entry<T> entry = new Entry<>(item, start, sequence++);
    waiting.add(entry);
    return entry;
  }

  /** Removes a request; has no effect if it is no longer queued. */
  public void remove(Entry<T> entry) {
    waiting.remove(entry);
  }

  /** Returns the next request without removing it. */
  public Optional<T> peek() {
    return Optional.ofNullable(waiting.peek()).map(Entry::item);
  }

  /** Removes and returns the next request. */
  public Optional<T> poll() {
    Entry<T> entry = waiting.poll();
    if (entry == null) {
      return Optional.empty();
    }
    virtualTime = Math.max(virtualTime, entry.start);
    if (waiting.isEmpty()) {
      finishByAccount.values().removeIf(finish -> finish <= virtualTime);
    }
    return Optional.of(entry.item);
  }

  public int size() {
    return waiting.size();
  }
}
