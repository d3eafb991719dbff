package org.gatereel.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.gatereel.core.model.AccountId;

/**
 * Waiting requests in start-time fair order: over any stretch in which two accounts both wait, each
 * gets work done in proportion to its weight, whatever the other one sends.
 */
public final class FairQueue<T> {
  private final PriorityQueue<Entry<T>> waiting =
      new PriorityQueue<>(
          Comparator.comparingDouble((Entry<T> entry) -> entry.start)
              .thenComparingLong(entry -> entry.sequence));
  private final Map<AccountId, Double> finishByAccount = new HashMap<>();
  private double virtualTime;
  private long sequence;

  /** One place in the queue. */
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

  /** Adds a request that costs {@code cost} in any unit that all requests here share. */
  public Entry<T> add(AccountId account, int weight, double cost, T item) {
    double start = Math.max(virtualTime, finishByAccount.getOrDefault(account, 0.0));
    finishByAccount.put(account, start + cost / weight);
    Entry<T> entry = new Entry<>(item, start, sequence++);
    waiting.add(entry);
    return entry;
  }

  /** Takes a request out that no longer waits; harmless if it was already taken. */
  public void remove(Entry<T> entry) {
    waiting.remove(entry);
  }

  /** Returns the request whose turn it is, and leaves it in the queue. */
  public Optional<T> peek() {
    return Optional.ofNullable(waiting.peek()).map(Entry::item);
  }

  /** Takes out the request whose turn it is. */
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
