package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;

/**
 * Which versions of a service may be used without a word of the operators.
 *
 * <p>Targets of a new version start when an order is given, and their entries may be known here
 * before the order is. A version that a service did not have is therefore held back until the
 * operators' documents were read after it was seen. Where as many new targets start as there were
 * (arithmetic, no measurement), it would have half of all requests until then.
 */
final class ApprovedVersions {
  private final Map<ServiceName, Set<String>> vouched = new HashMap<>();
  private final Map<ServiceName, Map<String, Long>> pending = new HashMap<>();
  private Map<ServiceName, Set<String>> listed = Map.of();

  /** Takes in the versions of a list that came now. */
  void update(HostList list, long now) {
    Map<ServiceName, Set<String>> latest = new HashMap<>();
    for (TargetDescription target : list.targets()) {
      latest.computeIfAbsent(target.service(), any -> new HashSet<>()).add(target.version());
    }
    listed = latest;
    latest.forEach((service, versions) -> update(service, versions, now));
  }

  private void update(ServiceName service, Set<String> versions, long now) {
    Set<String> known = vouched.get(service);
    if (known == null) {
      vouched.put(service, new HashSet<>(versions));
      return;
    }
    Map<String, Long> waiting = pending.computeIfAbsent(service, any -> new HashMap<>());
    waiting.keySet().retainAll(versions);
    versions.stream()
        .filter(version -> !known.contains(version))
        .forEach(version -> waiting.putIfAbsent(version, now));
  }

  /** The operators' documents were read at a time: what was seen before then has no order. */
  void approveSeenBefore(long provenAt) {
    pending.forEach(
        (service, waiting) -> {
          Set<String> known = vouched.get(service);
          waiting
              .entrySet()
              .removeIf(version -> version.getValue() < provenAt && known.add(version.getKey()));
        });
  }

  /** Returns whether all listed targets of a service have a version. */
  boolean isOnlyListed(ServiceName service, String version) {
    return Set.of(version).equals(listed.get(service));
  }

  /** Returns the versions of a service that are to be held back for now. */
  Set<String> unapproved(ServiceName service) {
    return pending.getOrDefault(service, Map.of()).keySet();
  }
}
