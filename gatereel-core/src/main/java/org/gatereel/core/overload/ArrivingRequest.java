package org.gatereel.core.overload;

import java.util.Optional;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;

/**
 * A request on which {@link OverloadControl} decides.
 *
 * @param priority the priority of its route; 0 is the highest
 * @param objectiveMillis the response time objective, for the whole response or the first event
 * @param deadline when the caller or the route stops waiting, in milliseconds
 */
public record ArrivingRequest(
    ServiceName service,
    int priority,
    Optional<AccountId> account,
    long objectiveMillis,
    long deadline) {
  DemandKey demandKey() {
    return new DemandKey(service, priority, account);
  }
}
