package org.gatereel.core.choice;

import java.util.Optional;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.target.TargetState;

/**
 * A target that may be chosen, and what is known of it.
 *
 * @param others what all other hosts have there, as far as they have told
 * @param restsElsewhere whether it asked another host for rest
 */
record Candidate(
    TargetState target, TargetLoad others, boolean restsElsewhere, Situation situation) {
  /** Returns by how many errors the target stands out among those of its service. */
  double excessErrors() {
    return situation.errors().excess(target.errorsHere(situation.now()) + others.errors());
  }

  /** Returns the requests that the target probably has, of all hosts. */
  double open() {
    return target.estimatedLoad(situation.now()) + others.open();
  }

  /** Returns the prompts that the target is probably reading, of all hosts. */
  int reading() {
    return target.readingHere() + others.reading();
  }

  /** Returns the copies of runs that the target probably holds, of all hosts. */
  int copies() {
    return target.copiesHere() + others.copies();
  }

  /** Returns whether the target's memory probably has no room for one more request. */
  boolean isCrowded() {
    return open() + copies() + 1 > situation.fitting();
  }

  boolean hasReadPrompt() {
    return situation.readAt().equals(Optional.of(target.description().id()));
  }

  boolean isFar() {
    return !target.description().dataCentre().equals(situation.here());
  }

  boolean isEngine() {
    return target.description().kind() == TargetKind.ENGINE;
  }

  /** Returns whether this host passes the target over because it failed here. */
  boolean isFailing() {
    return target.isFailing(situation.now());
  }

  /** Returns whether another host saw the target fail, and this one no sign of it since. */
  boolean failedElsewhere() {
    return Evidence.isRecent(others.failedAt(), situation.now())
        && others.failedAt() > target.lastSignAt();
  }

  /** Returns by how many targets its data centre is doubted; 0 if the target itself works. */
  int doubts() {
    return situation.doubts().of(target, Evidence.of(target, others, situation.now()));
  }
}
