package org.gatereel.core.load;

import java.util.EnumMap;
import java.util.Map;

/** A kind of entries in load reports. Kinds share the bandwidth of a link by max-min fairness. */
enum ReportContent {
  LOADS(18),
  DEMAND(10),
  EVIDENCE(24),
  /** The kind of a fact, the longest name and start of a target, and two numbers. */
  TARGET_FACTS(20),
  POISON_FACTS(40),
  TIMES(24);

  private final int entryBytes;

  ReportContent(int entryBytes) {
    this.entryBytes = entryBytes;
  }

  /** Returns the estimated size of one entry. */
  int entryBytes() {
    return entryBytes;
  }

  /** Returns the estimated size of some entries. */
  static long bytes(Map<ReportContent, Integer> counts) {
    return counts.entrySet().stream()
        .mapToLong(count -> (long) count.getKey().entryBytes * count.getValue())
        .sum();
  }

  /**
   * Divides the bytes of a report equally among kinds. What one kind does not need is divided among
   * the others; each gets one entry at least, if it has any.
   *
   * @param wanted the number of entries that wait to be sent, by kind
   * @return the number of entries that the report may carry, by kind
   */
  static Map<ReportContent, Integer> divide(long bytes, Map<ReportContent, Integer> wanted) {
    Map<ReportContent, Integer> granted = new EnumMap<>(ReportContent.class);
    Map<ReportContent, Integer> open = new EnumMap<>(wanted);
    long left = bytes;
    while (true) {
      long share = Math.max(0, left) / Math.max(1, open.size());
      Map<ReportContent, Integer> satisfied = new EnumMap<>(open);
      satisfied.entrySet().removeIf(each -> each.getValue() > share / each.getKey().entryBytes);
      if (satisfied.isEmpty()) {
        open.keySet()
            .forEach(kind -> granted.put(kind, (int) Math.max(1, share / kind.entryBytes)));
        return granted;
      }
      granted.putAll(satisfied);
      open.keySet().removeAll(satisfied.keySet());
      left -= bytes(satisfied);
    }
  }
}
