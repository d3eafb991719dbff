package org.gatereel.core.rollout;

import org.gatereel.core.model.ServiceName;

/**
 * Under which answers are counted together.
 *
 * @param orderRevision the order during which they came
 * @param route a version may be bad on one route alone
 * @param newVersion whether they came from the version that the order names
 */
public record EvidenceKey(
    ServiceName service, long orderRevision, String route, Signal signal, boolean newVersion) {
  EvidenceKey withNewVersion(boolean version) {
    return new EvidenceKey(service, orderRevision, route, signal, version);
  }
}
