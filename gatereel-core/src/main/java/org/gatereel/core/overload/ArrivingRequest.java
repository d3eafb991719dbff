package org.gatereel.core.overload;

import java.util.Optional;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;

/**
 * A request that arrives.
 *
 * @param priority the priority of its route, 0 first
 * @param objectiveMillis within which its caller wants the answer, or its first event
 * @param deadline when its caller or its route waits no longer
 */
public record ArrivingRequest(
    ServiceName service, int priority, Optional<AccountId> account, long objectiveMillis, long deadline) {
  DemandKey demandKey() {
    return new DemandKey(service, priority, account);
  }
}
