package org.gatereel.core.choice;

import java.util.Optional;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.target.TargetState;

/**
 * A target that may be selected, with what is known about it.
 *
 * @param otherHosts the load that all other hosts have reported at the target
 * @param backsOffElsewhere whether the target has requested a backoff from another host
 * @param pace how fast the target is
 */
record Candidate(
    TargetState target,
    TargetLoad otherHosts,
    boolean backsOffElsewhere,
    TargetPace pace,
    SelectionContext context) {
  /** Returns by how much the recent errors of the target exceed the baseline of its service. */
  double excessErrors() {
    return context.errorBaseline().excess(target.localErrors(context.now()) + otherHosts.errors());
  }

  /** Returns the estimated number of open requests at the target, of all hosts. */
  double openRequests() {
    return target.estimatedLoad(context.now()) + otherHosts.open();
  }

  /** Returns the estimated number of prompts that the target is reading, of all hosts. */
  int prefills() {
    return target.localPrefills() + otherHosts.reading();
  }

  /** Returns the estimated number of execution copies that the target holds, of all hosts. */
  int copies() {
    return target.localCopies() + otherHosts.copies();
  }

  /** Returns whether the memory of the target is estimated to have no room for one more request. */
  boolean isMemoryFull() {
    return context
        .room()
        .map(hasRoom -> !hasRoom.test(target))
        .orElseGet(() -> openRequests() + copies() + 1 > context.fittingRequests());
  }

  boolean hasPromptCached() {
    return context.promptCachedAt().equals(Optional.of(target.description().id()));
  }

  boolean isRemote() {
    return !target.description().dataCentre().equals(context.localDataCentre());
  }

  boolean isEngine() {
    return target.description().kind() == TargetKind.ENGINE;
  }

  /** Returns whether this host avoids the target after a failure that it observed itself. */
  boolean isFailing() {
    return target.isFailing(context.now());
  }

  /** Returns whether another host has reported a failure since this host last received data. */
  boolean failedElsewhere() {
    return TargetHealth.isRecent(otherHosts.failedAt(), context.now())
        && otherHosts.failedAt() > target.lastDataAt();
  }

  /**
   * Returns by how many targets the failures in its data centre exceed the successes; 0 if the
   * target itself has worked since the last failure.
   */
  int excessDataCentreFailures() {
    return context
        .dataCentreFailures()
        .excess(target, TargetHealth.of(target, otherHosts, context.now()));
  }
}
