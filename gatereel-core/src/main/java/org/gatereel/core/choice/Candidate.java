package org.gatereel.core.choice;

import java.util.Optional;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.target.TargetState;

/**
 * A target that may be chosen, and what is known of it.
 *
 * @param otherHosts what all other hosts have there, as far as they have told
 * @param backsOffElsewhere whether it asked another host for rest
 */
record Candidate(
    TargetState target, TargetLoad otherHosts, boolean backsOffElsewhere, SelectionContext context) {
  /** Returns by how many errors the target stands out among those of its service. */
  double excessErrors() {
    return context.errorBaseline().excess(target.localErrors(context.now()) + otherHosts.errors());
  }

  /** Returns the requests that the target probably has, of all hosts. */
  double openRequests() {
    return target.estimatedLoad(context.now()) + otherHosts.open();
  }

  /** Returns the prompts that the target is probably reading, of all hosts. */
  int prefills() {
    return target.localPrefills() + otherHosts.reading();
  }

  /** Returns the copies of runs that the target probably holds, of all hosts. */
  int copies() {
    return target.localCopies() + otherHosts.copies();
  }

  /** Returns whether the target's memory probably has no room for one more request. */
  boolean isMemoryFull() {
    return openRequests() + copies() + 1 > context.fittingRequests();
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

  /** Returns whether this host passes the target over because it failed here. */
  boolean isFailing() {
    return target.isFailing(context.now());
  }

  /** Returns whether another host saw the target fail, and this one no sign of it since. */
  boolean failedElsewhere() {
    return TargetHealth.isRecent(otherHosts.failedAt(), context.now())
        && otherHosts.failedAt() > target.lastDataAt();
  }

  /** Returns by how many targets its data centre is doubted; 0 if the target itself works. */
  int excessDataCentreFailures() {
    return context.dataCentreFailures().of(target, TargetHealth.of(target, otherHosts, context.now()));
  }
}
