package org.gatereel.core.rollout;

/**
 * What the evidence says of the new version.
 *
 * @param reason for people: the route and figures that settled it
 */
record VersionVerdict(Kind kind, String reason) {
  static final VersionVerdict UNKNOWN = new VersionVerdict(Kind.UNKNOWN, "too few answers");

  /** What may be concluded, the worst first. */
  enum Kind {
    /** It does worse than the versions before; no more evidence is needed. */
    BAD,
    /** It may do worse, which is reason enough not to complete. */
    SUSPECT,
    /** Nothing can be said yet. */
    UNKNOWN,
    /** It may take everything. */
    GOOD
  }
}
