package org.gatereel.core.forward;

/** Counts how requests end; for metrics. */
public interface ForwardObserver {
  /** A caller got the whole answer of a target. */
  void recordResponse(Route route, long millis);

  /** A caller got an answer of this host's own. */
  void recordRejection(Rejection refusal);

  /** An answer was broken off after it had begun. */
  void recordInterruption(Route route);
}
