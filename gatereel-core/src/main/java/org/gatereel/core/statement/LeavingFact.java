package org.gatereel.core.statement;

import java.util.OptionalDouble;
import org.gatereel.core.model.TargetId;

/** The fact that an incarnation of a target has announced its end; it is permanent. */
public record LeavingFact(TargetId target, long announcedAt) implements TargetFact {
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
  public boolean subsumes(TargetFact other) {
    return true;
  }

  @Override
  public boolean supersedes(TargetFact other) {
    return false;
  }

  @Override
  public LeavingFact shiftedBy(long millis) {
    return new LeavingFact(target, announcedAt + millis);
  }
}
