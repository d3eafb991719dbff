package org.gatereel.core.document;

import com.google.common.collect.Sets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.gatereel.core.model.Address;
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

  /** The targets that only other hosts have known; they are not passed on. */
  private final Set<TargetId> removedAtOthers = new HashSet<>();

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
    removedAtOthers.removeAll(known);
  }

  /**
   * Excludes targets that the first list after a return names: those that were removed, and unknown
   * ones at the address of a known target, which they had before.
   *
   * @param known the targets that are known
   * @return the excluded targets
   */
  Set<TargetId> exclude(HostList list, Collection<TargetDescription> known, long now) {
    Set<TargetId> knownIds = new HashSet<>();
    Set<Address> knownAddresses = new HashSet<>();
    for (TargetDescription target : known) {
      knownIds.add(target.id());
      knownAddresses.add(target.address());
    }
    excludedUntil = now + EXCLUSION_MILLIS;
    excluded.clear();
    for (TargetDescription target : list.targets()) {
      boolean isUnknown = !knownIds.contains(target.id());
      boolean isReplaced = isUnknown && knownAddresses.contains(target.address());
      if (isReplaced || isRemoved(target.id())) {
        excluded.add(target.id());
      }
    }
    return Set.copyOf(excluded);
  }

  private boolean isRemoved(TargetId id) {
    return removedAt.containsKey(id) || removedAtOthers.contains(id);
  }

  /** Excludes targets that another host excludes, which knew them when they were removed. */
  void exclude(Set<TargetId> excludedByOther, long now) {
    removedAtOthers.addAll(excludedByOther);
    excluded.addAll(excludedByOther);
    excludedUntil = now + EXCLUSION_MILLIS;
  }

  /**
   * Returns the targets that are excluded at a time and were known here. Those that another host
   * has told are left out: hosts that start one after the other would exclude them for ever.
   */
  Set<TargetId> excluded(long now) {
    return now < excludedUntil ? Set.copyOf(Sets.difference(excluded, removedAtOthers)) : Set.of();
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
