package org.gatereel.core.statement;

import java.util.OptionalDouble;
import org.gatereel.core.model.TargetId;

/**
 * One run of a target wants nothing from some host until a time.
 *
 * @param until the end, on this host's steady clock in milliseconds
 */
public record RestFact(TargetId target, long since, long until) implements TargetFact {
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
    return OptionalDouble.of(until - since);
  }

  @Override
  public String valueText() {
    return Long.toString(until - since);
  }

  @Override
  public boolean covers(TargetFact other) {
    return !(other instanceof RestFact rest)
        || rest.until - until < (rest.until - rest.since) / NEWS_PART;
  }

  @Override
  public boolean replaces(TargetFact other) {
    return !other.covers(this);
  }

  @Override
  public RestFact later(long millis) {
    return new RestFact(target, since + millis, until + millis);
  }
}
