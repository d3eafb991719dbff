package org.gatereel.core.overload;

import java.util.Optional;
import org.gatereel.core.estimate.RequestSize;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.scheduling.Urgency;

/**
 * A request on which {@link OverloadControl} decides.
 *
 * @param priority the priority of its route; 0 is the highest
 * @param objectiveMillis the response time objective, for the whole response or the first event
 * @param deadline when the caller or the route stops waiting, in milliseconds
 * @param arrivedAt when this host received it, in milliseconds
 * @param urgency its urgency among the requests of its service
 * @param size its expected size
 */
public record ArrivingRequest(
    ServiceName service,
    int priority,
    Optional<AccountId> account,
    long objectiveMillis,
    long deadline,
    long arrivedAt,
    Urgency urgency,
    RequestSize size) {
  /** Makes a request of a service whose requests are all equally urgent. */
  public ArrivingRequest(
      ServiceName service,
      int priority,
      Optional<AccountId> account,
      long objectiveMillis,
      long deadline) {
    this(
        service,
        priority,
        account,
        objectiveMillis,
        deadline,
        0,
        Urgency.UNRANKED,
        RequestSize.CALL);
  }

  DemandKey demandKey() {
    return new DemandKey(service, priority, account);
  }

  /** Returns when its first event is due according to the objective, in milliseconds. */
  long dueAt() {
    return arrivedAt + objectiveMillis;
  }
}
