package org.gatereel.core.poison;

import java.util.Optional;
import org.gatereel.core.model.TargetId;

/**
 * One thing that a host has seen of a request under which targets end.
 *
 * <p>An end is named by the target's run, so that it counts once, however many hosts tell of it and
 * however often.
 *
 * @param ended the run of a target that ended as the request began there; empty if the request was
 *     seen to run for long or to its end, which outweighs all ends
 * @param sentAt when the request had been sent to the target, on this host's steady clock in
 *     milliseconds
 * @param at when the end was seen, or that the request ran well, on the same clock
 */
public record PoisonFact(Fingerprint request, Optional<TargetId> ended, long sentAt, long at) {
  /** Makes the fact that a target's run ended under a request. */
  public static PoisonFact end(Fingerprint request, TargetId target, long sentAt, long at) {
    return new PoisonFact(request, Optional.of(target), sentAt, at);
  }

  /** Makes the fact that a request has run as it should. */
  public static PoisonFact clearing(Fingerprint request, long at) {
    return new PoisonFact(request, Optional.empty(), at, at);
  }

  boolean isClearing() {
    return ended.isEmpty();
  }
}
