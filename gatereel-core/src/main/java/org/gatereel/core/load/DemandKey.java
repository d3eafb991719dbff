package org.gatereel.core.load;

import java.util.Optional;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;

/**
 * The requests to a service that are counted together.
 *
 * @param priority the priority of their route, where 0 is the highest; negative for totals over all
 *     accounts and priorities
 * @param account the client account; empty for requests without one and for totals
 */
public record DemandKey(ServiceName service, int priority, Optional<AccountId> account) {
  private static final int ALL_PRIORITIES = -1;
  private static final int WAITING = -2;

  private static final int WAITING_FOR_ROOM = -500;

  private static final int FULL = -501;

  /** Below the values of all classes of waiting requests. */
  private static final int RANKED = -1_000;

  /**
   * Returns the key of the requests to a service that wait at hosts. Its value is their number, not
   * a rate.
   */
  public static DemandKey waitingFor(ServiceName service) {
    return new DemandKey(service, WAITING, Optional.empty());
  }

  /**
   * Returns the key of the waiting requests of one class of urgency, where 0 goes first. Its value
   * is their number, not a rate.
   */
  public static DemandKey waitingFor(ServiceName service, int urgencyClass) {
    return new DemandKey(service, WAITING - 1 - urgencyClass, Optional.empty());
  }

  /**
   * Returns the key of the requests that wait at hosts for room at a target. Its value is their
   * number, not a rate.
   */
  public static DemandKey waitingForRoom(ServiceName service) {
    return new DemandKey(service, WAITING_FOR_ROOM, Optional.empty());
  }

  /**
   * Returns the key of the hosts that a full target of a service has recently rejected a request
   * of. Its value is their number, not a rate.
   */
  public static DemandKey fullAt(ServiceName service) {
    return new DemandKey(service, FULL, Optional.empty());
  }

  /** Returns the key of all requests of one rank of urgency, where 0 is the most urgent. */
  public static DemandKey ofRank(ServiceName service, int rank) {
    return new DemandKey(service, RANKED - rank, Optional.empty());
  }

  /** Returns the key of all requests to a service. */
  public static DemandKey allOf(ServiceName service) {
    return new DemandKey(service, ALL_PRIORITIES, Optional.empty());
  }

  /** Returns whether this counts requests of one account and priority, and is not a total. */
  public boolean isPerAccount() {
    return priority >= 0;
  }

  /** Returns the relative difference of two values of a key. */
  static double relativeDifference(double reported, double current) {
    double greater = Math.max(reported, current);
    return greater == 0 ? 0 : Math.abs(reported - current) / greater;
  }
}
