package org.gatereel.core.limit;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.FactKind;
import org.gatereel.core.statement.LimitFact;
import org.gatereel.core.statement.TargetFacts;

/**
 * The limits that targets have named, as far as this host has heard of them from targets or hosts.
 *
 * <p>A limit holds for one run of a target until the target says otherwise. A lower one holds at
 * once. A higher one, or none, holds only if it answers a request that was sent after the present
 * one was known: answers overtake each other, and an older one must not lift it.
 */
public final class LimitBook {
  /**
   * A target that takes nothing for now is asked again each ten seconds, since only its answers
   * tell when it takes more; less than one in a second harms none.
   */
  private static final double LEAST_PER_SECOND = 0.1;

  private final CoreContext context;
  private final TargetFacts facts;

  /** Makes a view on the limits among what targets have said. */
  public LimitBook(CoreContext context, TargetFacts facts) {
    this.context = context;
    this.facts = facts;
  }

  /** Returns the limit of a target, if it named one and holds to it. */
  public Optional<AnnouncedLimit> find(TargetId target) {
    return known(target).filter(limit -> !limit.isNone());
  }

  private Optional<AnnouncedLimit> known(TargetId target) {
    return facts.find(FactKind.LIMIT, target).map(LimitFact.class::cast).map(LimitFact::limit);
  }

  /**
   * Returns how many requests a second a target is sent at the most; infinite if it has named no
   * limit, and never 0, so that admission too lets the request through that asks it again.
   */
  public double perSecond(TargetId target) {
    return facts.isEmpty(FactKind.LIMIT)
        ? Double.POSITIVE_INFINITY
        : find(target)
            .map(limit -> Math.max(LEAST_PER_SECOND, limit.perSecond()))
            .orElse(Double.POSITIVE_INFINITY);
  }

  private Stream<LimitFact> inForce() {
    return facts
        .all(FactKind.LIMIT)
        .map(LimitFact.class::cast)
        .filter(fact -> !fact.limit().isNone());
  }

  /** Returns the targets that have a limit now. */
  public Set<TargetId> limited() {
    return inForce().map(LimitFact::target).collect(Collectors.toSet());
  }

  /** Returns how many targets have a limit now. */
  public int size() {
    return (int) inForce().count();
  }

  /**
   * Takes in that a target's answer names a limit.
   *
   * @param sentAt when the request was sent that is answered, in milliseconds
   */
  public void hear(TargetId target, double perSecond, long sentAt) {
    Optional<AnnouncedLimit> known = known(target);
    boolean lower = known.isEmpty() || perSecond < known.get().perSecond();
    if (lower || sentAt > known.get().since()) {
      facts.hear(new LimitFact(target, new AnnouncedLimit(perSecond, context.now())));
    }
  }

  /**
   * Takes in that a target's answer names no limit.
   *
   * @param sentAt when the request was sent that is answered, in milliseconds
   */
  public void hearNone(TargetId target, long sentAt) {
    if (known(target).isPresent()) {
      hear(target, Double.POSITIVE_INFINITY, sentAt);
    }
  }

  /** Takes in what another host says of a target's limit. */
  void learn(LimitFact fact) {
    facts.merge(List.of(fact));
  }
}
