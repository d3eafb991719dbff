package org.gatereel.core.admission;

import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ServiceName;

/** A request that wants a target. */
public interface PendingRequest {
  AccountId account();

  ServiceName service();

  /** Returns the cost in tokens or calls; only the ratio between requests of a service counts. */
  double cost();

  /**
   * Starts the request if a target is free; returns whether it did.
   *
   * @param overShare whether the account has more than its share, and has to leave some room free
   */
  boolean tryStart(boolean overShare);

  /** Tells the caller that the request will not run. */
  void reject(Problem problem);
}
