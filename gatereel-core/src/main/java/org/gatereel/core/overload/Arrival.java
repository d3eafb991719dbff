package org.gatereel.core.overload;

import java.util.Optional;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;

/**
 * A request that arrives.
 *
 * @param rank the priority of its route, 0 first
 * @param aimMillis within which its caller wants the answer, or its first event
 * @param deadline when its caller or its route waits no longer
 */
public record Arrival(
    ServiceName service, int rank, Optional<AccountId> account, long aimMillis, long deadline) {
  DemandKey key() {
    return new DemandKey(service, rank, account);
  }
}
