package org.gatereel.core.limit;

import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.statement.LimitFact;

/** What hosts lend each other. */
public sealed interface TokenRequest {
  /** Repeats of a service's requests, out of the data centre's part of the retry budget. */
  record RetryTokens(ServiceName service) implements TokenRequest {}

  /**
   * Requests to a target, out of its limit.
   *
   * @param limit the target and what it takes, as the asker knows it
   * @param dataCentre where the target is
   * @param urgent whether they are for streams that have begun
   * @param forwarded whether a host asks for another one, so that it must not be asked in turn
   */
  record LimitTokens(LimitFact limit, DataCentre dataCentre, boolean urgent, boolean forwarded)
      implements TokenRequest {
    LimitTokens asForwarded() {
      return new LimitTokens(limit, dataCentre, urgent, true);
    }
  }
}
