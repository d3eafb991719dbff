package org.gatereel.core.statement;

import java.util.OptionalDouble;
import org.gatereel.core.model.TargetId;

/**
 * The fact that an incarnation of a target has requested a backoff from some host.
 *
 * @param until the end, on the steady clock of this host in milliseconds
 */
public record BackoffFact(TargetId target, long announcedAt, long until) implements TargetFact {
  /**
   * A backoff is exchanged again only if its end moves by this part of its duration, because many
   * hosts may receive slightly different ends.
   */
  private static final int MIN_EXTENSION_DIVISOR = 2;

  @Override
  public FactKind kind() {
    return FactKind.REST;
  }

  @Override
  public OptionalDouble value() {
    return OptionalDouble.of(until - announcedAt);
  }

  @Override
  public String valueText() {
    return Long.toString(until - announcedAt);
  }

  @Override
  public boolean subsumes(TargetFact other) {
    return !(other instanceof BackoffFact otherBackoff)
        || otherBackoff.until - until
            < (otherBackoff.until - otherBackoff.announcedAt) / MIN_EXTENSION_DIVISOR;
  }

  @Override
  public boolean supersedes(TargetFact other) {
    return !other.subsumes(this);
  }

  @Override
  public BackoffFact shiftedBy(long millis) {
    return new BackoffFact(target, announcedAt + millis, until + millis);
  }
}
