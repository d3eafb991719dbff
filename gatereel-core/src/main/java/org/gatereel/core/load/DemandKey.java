package org.gatereel.core.load;

import java.util.Optional;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;

/**
 * Whose requests for a service are counted together.
 *
 * @param priority the priority of their route, 0 first; negative where requests of all are counted
 * @param account the client account, if they showed one
 */
public record DemandKey(ServiceName service, int priority, Optional<AccountId> account) {
  /** The rank under which all requests of a service are counted. */
  private static final int ALL = -1;

  /** The rank under which requests that wait for a turn are counted. */
  private static final int WAITING = -2;

  /**
   * Returns the key of the requests for a service that wait for a turn at hosts: a number, no rate.
   */
  public static DemandKey waitingFor(ServiceName service) {
    return new DemandKey(service, WAITING, Optional.empty());
  }

  /** Returns the key of all requests for a service. */
  public static DemandKey allOf(ServiceName service) {
    return new DemandKey(service, ALL, Optional.empty());
  }

  /** Returns whether this counts requests of one account and rank, and not of all together. */
  public boolean isPerAccount() {
    return priority >= 0;
  }
}
