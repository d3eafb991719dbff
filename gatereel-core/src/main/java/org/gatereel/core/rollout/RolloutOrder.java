package org.gatereel.core.rollout;

import org.gatereel.core.model.ServiceName;

/**
 * An operator's request to move a service to a version.
 *
 * @param version the version of the targets that will receive the service's requests
 * @param durationMillis the time from the order to its deadline
 * @param revision rises with each order, also of the same version, until the store returns from an
 *     older copy
 */
public record RolloutOrder(
    ServiceName service, String version, long durationMillis, long revision) {
  /** Returns whether both request the same, in whatever row. */
  boolean requestsSameAs(RolloutOrder other) {
    return service.equals(other.service)
        && version.equals(other.version)
        && durationMillis == other.durationMillis;
  }

  RolloutOrder withRevision(long changed) {
    return new RolloutOrder(service, version, durationMillis, changed);
  }
}
