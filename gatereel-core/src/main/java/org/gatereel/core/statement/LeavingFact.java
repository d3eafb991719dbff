package org.gatereel.core.statement;

import java.util.OptionalDouble;
import org.gatereel.core.model.TargetId;

/** One run of a target has said that it is about to end; nothing takes that back. */
public record LeavingFact(TargetId target, long since) implements TargetFact {
  @Override
  public FactKind kind() {
    return FactKind.LEAVING;
  }

  @Override
  public OptionalDouble value() {
    return OptionalDouble.empty();
  }

  @Override
  public String valueText() {
    return "true";
  }

  @Override
  public boolean covers(TargetFact other) {
    return true;
  }

  @Override
  public boolean replaces(TargetFact other) {
    return false;
  }

  @Override
  public LeavingFact later(long millis) {
    return new LeavingFact(target, since + millis);
  }
}
