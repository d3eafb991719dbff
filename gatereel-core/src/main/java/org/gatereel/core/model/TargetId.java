package org.gatereel.core.model;

import java.util.Objects;

/**
 * Names one run of a target: of a model engine or a plain service instance, from its start to its
 * end.
 *
 * <p>A target may start again under the name that it had, and then holds nothing of before. What
 * hosts know of a run (failures, load, copies of memory, prompts read, its leaving) therefore hangs
 * on name and start together.
 *
 * @param value the name, unique among targets that live
 * @param born when the run began, in milliseconds since 1970 by the target's own clock; {@link
 *     #UNKNOWN_START} where targets do not tell
 */
public record TargetId(String value, long born) {
  /** The start of a target that does not tell when it began. */
  public static final long UNKNOWN_START = 0;

  public TargetId {
    Objects.requireNonNull(value, "value");
  }

  /** Names a target that takes a new name with each start. */
  public TargetId(String value) {
    this(value, UNKNOWN_START);
  }

  /** Returns whether this is an earlier run under the same name. */
  public boolean isEarlierIncarnationOf(TargetId other) {
    return value.equals(other.value) && born < other.born;
  }

  @Override
  public String toString() {
    return born == UNKNOWN_START ? value : value + "@" + born;
  }
}
