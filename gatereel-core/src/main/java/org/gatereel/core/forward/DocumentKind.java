package org.gatereel.core.forward;

/** The documents of the platform's store that every host needs, and that hosts pass on. */
public enum DocumentKind {
  /** The operators' configuration. */
  CONFIGURATION(true),
  /** The targets that have told of themselves. */
  TARGETS(true),
  /** The entries of all hosts. */
  HOSTS(false),
  /** What hosts have agreed on of roll-outs; read only while one is undecided. */
  ROLLOUTS(false),
  /**
   * What hosts have seen of requests under which targets end; read after a start and after news.
   */
  POISON(false);

  private final boolean urgent;

  DocumentKind(boolean urgent) {
    this.urgent = urgent;
  }

  /** Returns whether the document must be known anew within the operators' bounds. */
  public boolean isUrgent() {
    return urgent;
  }
}
