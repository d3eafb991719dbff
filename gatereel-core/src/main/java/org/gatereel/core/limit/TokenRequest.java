package org.gatereel.core.limit;

import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.statement.LimitFact;

/** A request of one host to another for tokens, each of which allows one request to a target. */
public sealed interface TokenRequest {
  /**
   * Tokens for retries, out of a data centre's part of a service's retry budget.
   *
   * @param elsewhere whether the host that asks is in another data centre
   */
  record RetryTokens(ServiceName service, boolean elsewhere) implements TokenRequest {
    /** Makes a request of a host of the same data centre. */
    public RetryTokens(ServiceName service) {
      this(service, false);
    }
  }

  /** Tokens for retries, out of the part of the asked host that it does not use itself. */
  record UnusedRetryTokens(ServiceName service) implements TokenRequest {}

  /**
   * Tokens for requests to a target, out of its limit.
   *
   * @param limit the target and its limit as the requesting host knows it
   * @param dataCentre the data centre of the target
   * @param urgent whether the requests resume streams
   * @param forwarded whether another host forwards the request, so that it must not be forwarded
   *     again
   */
  record LimitTokens(LimitFact limit, DataCentre dataCentre, boolean urgent, boolean forwarded)
      implements TokenRequest {
    LimitTokens asForwarded() {
      return new LimitTokens(limit, dataCentre, urgent, true);
    }
  }
}
