package org.gatereel.forward;

import java.util.OptionalLong;

/**
 * What a target's report on its state says.
 *
 * @param born when the target began; empty if the answer is no report, or does not tell
 * @param leaving whether the target is about to end
 */
public record TargetReport(OptionalLong born, boolean leaving) {
  /** An answer that is no report. */
  public static final TargetReport NONE = new TargetReport(OptionalLong.empty(), false);
}
