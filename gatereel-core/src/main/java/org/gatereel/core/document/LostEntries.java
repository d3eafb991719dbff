package org.gatereel.core.document;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gatereel.core.document.HostDirectory.Entry;

/**
 * The entries of hosts that were known when the store returned from an older copy. Those that the
 * copy lacks are kept until their hosts can have written them again.
 */
final class LostEntries {
  /** Two writes of an entry whose first one the store did not accept, and their readings. */
  private static final long RETENTION_MILLIS = 30_000;

  private Map<String, Entry> known = Map.of();
  private long expiresAt;

  /** Keeps all entries that are known at the store's return. */
  void keep(List<Entry> entries, long now) {
    known = entries.stream().collect(Collectors.toMap(Entry::host, entry -> entry, (a, b) -> b));
    expiresAt = now + RETENTION_MILLIS;
  }

  /** Returns the listed entries, with the kept ones of hosts that are missing or listed earlier. */
  List<Entry> addTo(List<Entry> listed, long now) {
    if (now >= expiresAt) {
      known = Map.of();
    }
    if (known.isEmpty()) {
      return listed;
    }
    Map<String, Entry> missing = new HashMap<>(known);
    for (Entry entry : listed) {
      if (missing.containsKey(entry.host())
          && missing.get(entry.host()).seenAt() <= entry.seenAt()) {
        missing.remove(entry.host());
      }
    }
    return Stream.concat(
            listed.stream().filter(entry -> !missing.containsKey(entry.host())),
            missing.values().stream())
        .toList();
  }

  /** Returns how many entries are kept that are not among the listed ones. */
  int countMissing(List<Entry> listed) {
    Map<String, Entry> missing = new HashMap<>(known);
    listed.forEach(entry -> missing.remove(entry.host()));
    return missing.size();
  }
}
