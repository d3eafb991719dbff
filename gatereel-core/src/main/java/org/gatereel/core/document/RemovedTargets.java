package org.gatereel.core.document;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;

/**
 * Remembers the targets that were removed lately, which a store that has returned from an older
 * copy lists again.
 *
 * <p>Such a target is excluded until its entry has expired or been removed. If it is still listed
 * then, it lives.
 */
final class RemovedTargets {
  /** Longer than the age of a copy. */
  private static final long MEMORY_MILLIS = 60_000;

  /** Longer than the store keeps the entry of a target that no longer writes it. */
  private static final long EXCLUSION_MILLIS = 5_000;

  private final Map<TargetId, Long> removedAt = new HashMap<>();
  private final Set<TargetId> excluded = new HashSet<>();
  private long excludedUntil;

  /**
   * Records a change of the known targets.
   *
   * @param removed the targets that are no longer known
   * @param known those that are known now, whose entries may have lapsed and returned
   */
  void record(Collection<TargetId> removed, Collection<TargetId> known, long now) {
    removedAt.values().removeIf(time -> now - time > MEMORY_MILLIS);
    removed.forEach(id -> removedAt.put(id, now));
    removedAt.keySet().removeAll(known);
  }

  /** Excludes the removed targets that the first list after a return names; returns them. */
  Set<TargetId> exclude(HostList list, long now) {
    excludedUntil = now + EXCLUSION_MILLIS;
    excluded.clear();
    ids(list).stream().filter(removedAt::containsKey).forEach(excluded::add);
    return Set.copyOf(excluded);
  }

  /** Returns a list without the targets that are excluded. */
  HostList applyTo(HostList list, long now) {
    if (excluded.isEmpty()) {
      return list;
    }
    excluded.retainAll(ids(list));
    if (now >= excludedUntil) {
      excluded.clear();
    }
    List<TargetDescription> remaining =
        list.targets().stream().filter(target -> !excluded.contains(target.id())).toList();
    return new HostList(list.version(), list.hosts(), remaining);
  }

  /** Returns the ids of all listed targets. */
  static Set<TargetId> ids(HostList list) {
    return list.targets().stream().map(TargetDescription::id).collect(Collectors.toSet());
  }
}
