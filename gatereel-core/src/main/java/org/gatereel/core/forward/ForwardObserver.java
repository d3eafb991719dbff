package org.gatereel.core.forward;

import org.gatereel.core.configuration.Route;

/** Receives the outcome of requests, for metrics. */
public interface ForwardObserver {
  /** Records a complete response of a target after {@code millis}. */
  void recordResponse(Route route, long millis);

  /** Records an error response of this host. */
  void recordRejection(Rejection rejection);

  /** Records a response that was aborted after it had started. */
  void recordInterruption(Route route);

  /** Records a step of a request that threw an exception. */
  void recordStepFailure(RuntimeException failure);
}
