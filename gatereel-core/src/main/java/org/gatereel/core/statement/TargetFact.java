package org.gatereel.core.statement;

import java.util.OptionalDouble;
import org.gatereel.core.model.TargetId;

/** What one run of a target has said, as hosts keep it and tell each other. */
public sealed interface TargetFact permits LimitFact, LeavingFact, BackoffFact {
  FactKind kind();

  TargetId target();

  /** Returns when it was said, on this host's steady clock in milliseconds. */
  long announcedAt();

  /** Returns the number that the kind needs, if it needs one. */
  OptionalDouble value();

  /** Returns the number as it is logged. */
  String valueText();

  /** Returns whether another fact of the same kind and target is no news beside this one. */
  boolean subsumes(TargetFact other);

  /**
   * Returns whether this takes the place of another fact of the same kind and target that a host
   * had before, in whichever order it hears of both.
   */
  boolean supersedes(TargetFact other);

  /** Returns the same, said so much later. */
  TargetFact shiftedBy(long millis);
}
