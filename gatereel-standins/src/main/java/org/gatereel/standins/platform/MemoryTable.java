package org.gatereel.standins.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** A transactional table in memory. */
final class MemoryTable {
  private final TreeMap<String, String> rows = new TreeMap<>();
  private long transactions;
  private long rowsWritten;
  private long reads;

  /** A row to write; {@code expected} is null if the row must not exist. */
  record Write(String key, String expected, String value) {}

  /** A transaction. */
  record Transaction(List<Write> writes) {}

  /** The conditions that failed. */
  record Conflict(Set<String> keys, Map<String, String> present) {}

  /** A request for single rows. */
  record Read(List<String> keys) {}

  /** Rows by key. */
  record Rows(SortedMap<String, String> rows) {}

  /** The numbers of operations so far. */
  record Counters(long transactions, long rowsWritten, long reads) {}

  /** Applies all writes, or none and returns the conditions that failed. */
  synchronized Optional<Conflict> transact(Transaction transaction) {
    Set<String> failed = new HashSet<>();
    Map<String, String> present = new HashMap<>();
    for (Write write : transaction.writes()) {
      String value = rows.get(write.key());
      boolean asExpected =
          write.expected() == null ? value == null : write.expected().equals(value);
      if (!asExpected) {
        failed.add(write.key());
        if (value != null) {
          present.put(write.key(), value);
        }
      }
    }
    transactions++;
    if (!failed.isEmpty()) {
      return Optional.of(new Conflict(failed, present));
    }
    transaction.writes().forEach(write -> rows.put(write.key(), write.value()));
    rowsWritten += transaction.writes().size();
    return Optional.empty();
  }

  synchronized Rows read(Read read) {
    reads++;
    SortedMap<String, String> found = new TreeMap<>();
    for (String key : read.keys()) {
      if (rows.containsKey(key)) {
        found.put(key, rows.get(key));
      }
    }
    return new Rows(found);
  }

  synchronized Rows scan(String prefix, String after) {
    reads++;
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    SortedMap<String, String> found = new TreeMap<>();
    for (var row : rows.tailMap(from, false).entrySet()) {
      if (!row.getKey().startsWith(prefix)) {
        break;
      }
      found.put(row.getKey(), row.getValue());
    }
    return new Rows(found);
  }

  synchronized Counters counters() {
    return new Counters(transactions, rowsWritten, reads);
  }
}
