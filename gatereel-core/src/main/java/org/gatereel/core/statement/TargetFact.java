package org.gatereel.core.statement;

import java.util.OptionalDouble;
import org.gatereel.core.model.TargetId;

/** A fact that one incarnation of a target has announced, as hosts store and exchange it. */
public sealed interface TargetFact permits LimitFact, LeavingFact, BackoffFact {
  FactKind kind();

  TargetId target();

  /** Returns when it was announced, on the steady clock of this host in milliseconds. */
  long announcedAt();

  /** Returns the value, if the kind has one. */
  OptionalDouble value();

  /** Returns the value in the format of the log. */
  String valueText();

  /** Returns whether another fact of the same kind and target adds nothing to this one. */
  boolean subsumes(TargetFact other);

  /**
   * Returns whether this fact replaces another one of the same kind and target, whatever the order
   * in which both were received.
   */
  boolean supersedes(TargetFact other);

  /** Returns a copy with all times moved by a number of milliseconds. */
  TargetFact shiftedBy(long millis);
}
