package org.gatereel.core.admission;

import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ServiceName;

/** A request that has not been sent to a target yet. */
public interface PendingRequest {
  AccountId account();

  ServiceName service();

  /** Returns the cost in any unit that is the same for all requests of a service. */
  double cost();

  /**
   * Starts the request if a target is free; returns whether it did.
   *
   * @param overShare whether the account has more than its share, so that some capacity must stay
   *     free for others
   */
  boolean tryStart(boolean overShare);

  /** Reports to the caller that the request is not executed. */
  void reject(Problem problem);
}
