package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;

/**
 * Which versions of a service may be used without an order.
 *
 * <p>Targets of a new version may be listed before their order is known to this host. A new version
 * is therefore not used until the operators' documents were read after it was first listed: from
 * then on any order for it is known. If as many new targets start as there were, the new version
 * would otherwise receive half of all requests until then.
 */
final class ApprovedVersions {
  private final Map<ServiceName, Set<String>> approved = new HashMap<>();
  private final Map<ServiceName, Map<String, Long>> firstListedAt = new HashMap<>();
  private Map<ServiceName, Set<String>> listed = Map.of();

  /** Replaces the listed versions. All versions in the first list of a service are approved. */
  void update(HostList list, long now) {
    Map<ServiceName, Set<String>> latest = new HashMap<>();
    for (TargetDescription target : list.targets()) {
      latest.computeIfAbsent(target.service(), any -> new HashSet<>()).add(target.version());
    }
    listed = latest;
    latest.forEach((service, versions) -> update(service, versions, now));
  }

  private void update(ServiceName service, Set<String> versions, long now) {
    Set<String> known = approved.get(service);
    if (known == null) {
      approved.put(service, new HashSet<>(versions));
      return;
    }
    Map<String, Long> pending = firstListedAt.computeIfAbsent(service, any -> new HashMap<>());
    pending.keySet().retainAll(versions);
    versions.stream()
        .filter(version -> !known.contains(version))
        .forEach(version -> pending.putIfAbsent(version, now));
  }

  /** Approves versions that were first listed before the operators' documents were read. */
  void approveSeenBefore(long readAt) {
    firstListedAt.forEach(
        (service, pending) -> {
          Set<String> known = approved.get(service);
          pending
              .entrySet()
              .removeIf(version -> version.getValue() < readAt && known.add(version.getKey()));
        });
  }

  /** Returns whether all listed targets of a service have a version. */
  boolean isOnlyListed(ServiceName service, String version) {
    return Set.of(version).equals(listed.get(service));
  }

  /** Returns the listed versions of a service that are not approved yet. */
  Set<String> unapproved(ServiceName service) {
    return firstListedAt.getOrDefault(service, Map.of()).keySet();
  }
}
