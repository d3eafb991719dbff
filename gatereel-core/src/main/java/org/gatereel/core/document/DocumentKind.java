package org.gatereel.core.document;

/** The documents of the platform's store that every host needs and passes to other hosts. */
public enum DocumentKind {
  CONFIGURATION(true),
  /** The targets that have registered. */
  TARGETS(true),
  /** The entries of all entry hosts. */
  HOSTS(false),
  /** The rollout decisions; read only while a rollout is undecided. */
  ROLLOUTS(false),
  /** The reports of poison requests; read after a start and after new reports. */
  POISON(false);

  private final boolean urgent;

  DocumentKind(boolean urgent) {
    this.urgent = urgent;
  }

  /** Returns whether the document must be refreshed within the configured bound. */
  public boolean isUrgent() {
    return urgent;
  }
}
