package org.gatereel.core.forward;

/** Counts how requests end; for metrics. */
public interface ForwardObserver {
  /** A caller got the whole answer of a target. */
  void answered(Route route, long millis);

  /** A caller got an answer of this host's own. */
  void refused(Rejection refusal);

  /** An answer was broken off after it had begun. */
  void interrupted(Route route);
}
