package org.gatereel.core.poison;

import java.util.Optional;
import org.gatereel.core.model.TargetId;

/**
 * An observation of a request during which a target ended, or of its successful execution.
 *
 * <p>An end is identified by the incarnation of the target, so that it counts once however many
 * hosts report it.
 *
 * @param ended the incarnation that ended while it began to execute the request; empty if the
 *     request was executed successfully or for a long time, which outweighs all ends
 * @param sentAt when the request was sent to the target, on this host's steady clock in
 *     milliseconds
 * @param at when this was observed, on the same clock
 */
public record PoisonFact(Fingerprint request, Optional<TargetId> ended, long sentAt, long at) {
  /** Makes the fact that an incarnation of a target ended during a request. */
  public static PoisonFact end(Fingerprint request, TargetId target, long sentAt, long at) {
    return new PoisonFact(request, Optional.of(target), sentAt, at);
  }

  /** Makes the fact that a request was executed successfully. */
  public static PoisonFact clearing(Fingerprint request, long at) {
    return new PoisonFact(request, Optional.empty(), at, at);
  }

  boolean isClearing() {
    return ended.isEmpty();
  }
}
