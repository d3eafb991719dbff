package org.gatereel.core.statement;

import java.util.OptionalDouble;
import org.gatereel.core.model.TargetId;

/**
 * One run of a target wants nothing from some host until a time.
 *
 * @param until the end, on this host's steady clock in milliseconds
 */
public record BackoffFact(TargetId target, long announcedAt, long until) implements TargetFact {
  /**
   * An end is news if it is later by this part of the rest: many hosts that are refused in turn
   * each hear of an end a little later, which would fill reports.
   */
  private static final int NEWS_PART = 2;

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
    return !(other instanceof BackoffFact rest)
        || rest.until - until < (rest.until - rest.announcedAt) / NEWS_PART;
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
