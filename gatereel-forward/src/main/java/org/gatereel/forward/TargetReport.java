package org.gatereel.forward;

import java.util.OptionalLong;
import java.util.Set;

/**
 * What a target's report on its state says.
 *
 * @param startedAtMillis when the target began; empty if the answer is no report, or does not tell
 * @param leaving whether the target is about to end
 * @param unknown the names of fields that nothing reads
 */
public record TargetReport(OptionalLong startedAtMillis, boolean leaving, Set<String> unknown) {
  /** An answer that is no report. */
  public static final TargetReport NONE = new TargetReport(OptionalLong.empty(), false, Set.of());

  public TargetReport {
    unknown = Set.copyOf(unknown);
  }
}
