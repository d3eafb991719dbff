package org.gatereel.core.rollout;

import org.gatereel.core.model.ServiceName;

/**
 * The responses that are counted together.
 *
 * @param orderRevision the revision of the order during which they were received
 * @param newVersion whether they are of the version that the order names
 */
public record EvidenceKey(
    ServiceName service, long orderRevision, String route, Signal signal, boolean newVersion) {
  EvidenceKey withNewVersion(boolean isNew) {
    return new EvidenceKey(service, orderRevision, route, signal, isNew);
  }

  EvidenceKey withOrderRevision(long revision) {
    return new EvidenceKey(service, revision, route, signal, newVersion);
  }
}
