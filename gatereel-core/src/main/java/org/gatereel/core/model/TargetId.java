package org.gatereel.core.model;

import java.util.Objects;

/**
 * The id of one incarnation of a target: one process of a model engine or a plain service.
 *
 * <p>A target that restarts under the same name has lost the state of its earlier incarnation.
 * Failures, load, cached prompts and draining are therefore recorded per name and start time.
 *
 * @param value the name, unique among live targets
 * @param born the start of the incarnation, in milliseconds since 1970 by the target's own clock;
 *     {@link #UNKNOWN_START} if the target does not report it
 */
public record TargetId(String value, long born) {
  /** The start of a target that does not report it. */
  public static final long UNKNOWN_START = 0;

  public TargetId {
    Objects.requireNonNull(value, "value");
  }

  /** Makes the id of a target that has a new name after each start. */
  public TargetId(String value) {
    this(value, UNKNOWN_START);
  }

  /** Returns whether this is an earlier incarnation with the same name. */
  public boolean isEarlierIncarnationOf(TargetId other) {
    return value.equals(other.value) && born < other.born;
  }

  @Override
  public String toString() {
    return born == UNKNOWN_START ? value : value + "@" + born;
  }
}
