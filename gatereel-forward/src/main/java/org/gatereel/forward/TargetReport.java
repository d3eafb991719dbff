package org.gatereel.forward;

import java.util.OptionalLong;
import java.util.Set;

/**
 * A target's report on its own state.
 *
 * @param startedAtMillis the start time of the target's incarnation; empty if not reported
 * @param leaving whether the target announces that it is draining
 * @param unknown the names of unknown fields
 */
public record TargetReport(OptionalLong startedAtMillis, boolean leaving, Set<String> unknown) {
  /** Returned for a response that is not a valid report. */
  public static final TargetReport NONE = new TargetReport(OptionalLong.empty(), false, Set.of());

  public TargetReport {
    unknown = Set.copyOf(unknown);
  }
}
