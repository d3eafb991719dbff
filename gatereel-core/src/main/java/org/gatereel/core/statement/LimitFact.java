package org.gatereel.core.statement;

import java.util.Locale;
import java.util.OptionalDouble;
import org.gatereel.core.model.TargetId;

/** The request rate limit that an incarnation of a target has announced. */
public record LimitFact(TargetId target, AnnouncedLimit limit) implements TargetFact {
  @Override
  public FactKind kind() {
    return FactKind.LIMIT;
  }

  @Override
  public long announcedAt() {
    return limit.announcedAt();
  }

  @Override
  public OptionalDouble value() {
    return limit.isNone() ? OptionalDouble.empty() : OptionalDouble.of(limit.perSecond());
  }

  @Override
  public String valueText() {
    return limit.isNone() ? "-" : String.format(Locale.ROOT, "%.3f", limit.perSecond());
  }

  @Override
  public boolean subsumes(TargetFact other) {
    return !(other instanceof LimitFact fact) || fact.limit.perSecond() == limit.perSecond();
  }

  @Override
  public boolean supersedes(TargetFact other) {
    return other instanceof LimitFact fact && limit.supersedes(fact.limit);
  }

  @Override
  public LimitFact shiftedBy(long millis) {
    return new LimitFact(
        target, new AnnouncedLimit(limit.perSecond(), limit.announcedAt() + millis));
  }
}
