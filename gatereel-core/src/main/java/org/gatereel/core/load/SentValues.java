package org.gatereel.core.load;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The values of one kind that were sent to a receiver, by key.
 *
 * <p>If a report cannot carry all changes, the largest go first, and in turn with them those that
 * have waited longest, so that none waits without end.
 */
final class SentValues<K, V> {
  private final V none;
  private final Difference<V> difference;
  private final Map<K, V> sent = new HashMap<>();
  private final Map<K, Long> changedAt = new HashMap<>();

  /** Measures changes of values. */
  interface Difference<V> {
    /** Returns how much a value has changed since it was sent; 0 if it need not be sent again. */
    double between(V sent, V current);
  }

  /**
   * Starts with nothing sent.
   *
   * @param none the value of a key without one
   */
  SentValues(V none, Difference<V> difference) {
    this.none = none;
    this.difference = difference;
  }

  /** Forgets what was sent, because the receiver has discarded it. */
  void restart() {
    sent.clear();
    changedAt.clear();
  }

  /** Returns the keys whose values have changed, in no order. */
  Set<K> changedKeys(Map<K, V> current, long now) {
    Set<K> changed = new LinkedHashSet<>();
    current.forEach((key, value) -> addIfChanged(key, value, now, changed));
    for (K key : sent.keySet()) {
      if (!current.containsKey(key)) {
        addIfChanged(key, none, now, changed);
      }
    }
    changedAt.keySet().retainAll(changed);
    return changed;
  }

  private void addIfChanged(K key, V value, long now, Set<K> changed) {
    if (difference.between(sentValue(key), value) > 0) {
      changed.add(key);
      changedAt.putIfAbsent(key, now);
    }
  }

  /** Returns at most {@code maxCount} of some changed keys, those to send first. */
  Collection<K> first(Collection<K> changed, Map<K, V> current, int maxCount) {
    if (changed.size() <= maxCount) {
      return changed;
    }
    Map<K, Double> changes = new HashMap<>();
    changed.forEach(
        key -> changes.put(key, difference.between(sentValue(key), value(current, key))));
    List<K> largest = sorted(changed, Comparator.comparingDouble(key -> -changes.get(key)));
    List<K> oldest = sorted(changed, Comparator.comparingLong(changedAt::get));
    Set<K> keys = new LinkedHashSet<>();
    for (int index = 0; keys.size() < maxCount; index++) {
      keys.add(largest.get(index));
      if (keys.size() < maxCount) {
        keys.add(oldest.get(index));
      }
    }
    return keys;
  }

  /** Sorts keys, equal ones by name, so that the order never depends on that of a hash table. */
  private static <K> List<K> sorted(Collection<K> keys, Comparator<K> order) {
    return keys.stream().sorted(order.thenComparing(String::valueOf)).toList();
  }

  /** Returns the current values of some keys and records them as sent. */
  Map<K, V> send(Collection<K> keys, Map<K, V> current) {
    Map<K, V> values = new LinkedHashMap<>();
    for (K key : keys) {
      V value = value(current, key);
      values.put(key, value);
      changedAt.remove(key);
      if (value.equals(none)) {
        sent.remove(key);
      } else {
        sent.put(key, value);
      }
    }
    return values;
  }

  private V value(Map<K, V> current, K key) {
    return current.getOrDefault(key, none);
  }

  private V sentValue(K key) {
    return sent.getOrDefault(key, none);
  }
}
