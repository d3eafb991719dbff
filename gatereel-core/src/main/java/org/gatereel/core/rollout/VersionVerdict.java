package org.gatereel.core.rollout;

/**
 * The result of comparing the new version with the one before.
 *
 * @param reason the decisive route and figures, for logs
 */
record VersionVerdict(Kind kind, String reason) {
  static final VersionVerdict UNKNOWN = new VersionVerdict(Kind.UNKNOWN, "too few answers");

  /** The possible results, the worst first. */
  enum Kind {
    /** Significantly worse; the rollout is rolled back at once. */
    BAD,
    /** Possibly worse; the rollout is not completed. */
    SUSPECT,
    /** Not enough evidence. */
    UNKNOWN,
    /** Not worse; the new version may receive all requests. */
    GOOD
  }
}
