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
 * The limits that targets have announced, to this host or to others that reported them.
 *
 * <p>A limit is valid for one incarnation of a target. A lower limit applies immediately. A higher
 * one, or none, applies only if it is in the response to a request that was sent after the current
 * limit became known, because responses may arrive out of order.
 */
public final class AnnouncedLimits {
  /**
   * A target with a limit of 0 still receives one request every ten seconds, because only its
   * responses show when it accepts more. Less than one request per second does not harm it.
   */
  private static final double MIN_PER_SECOND = 0.1;

  private final CoreContext context;
  private final TargetFacts facts;

  public AnnouncedLimits(CoreContext context, TargetFacts facts) {
    this.context = context;
    this.facts = facts;
  }

  /** Returns the current limit of a target, if it has one. */
  public Optional<AnnouncedLimit> find(TargetId target) {
    return known(target).filter(limit -> !limit.isNone());
  }

  private Optional<AnnouncedLimit> known(TargetId target) {
    return facts.find(FactKind.LIMIT, target).map(LimitFact.class::cast).map(LimitFact::limit);
  }

  /**
   * Returns how many requests a second may be sent to a target; infinite if it has no limit, and
   * never 0, so that admission lets through the request that detects a change.
   */
  public double perSecond(TargetId target) {
    return facts.isEmpty(FactKind.LIMIT)
        ? Double.POSITIVE_INFINITY
        : find(target)
            .map(limit -> Math.max(MIN_PER_SECOND, limit.perSecond()))
            .orElse(Double.POSITIVE_INFINITY);
  }

  private Stream<LimitFact> inForce() {
    return facts
        .all(FactKind.LIMIT)
        .map(LimitFact.class::cast)
        .filter(fact -> !fact.limit().isNone());
  }

  public Set<TargetId> limitedTargets() {
    return inForce().map(LimitFact::target).collect(Collectors.toSet());
  }

  /** Returns the number of targets that have a limit. */
  public int size() {
    return (int) inForce().count();
  }

  /**
   * Records that a response of a target announces a limit.
   *
   * @param sentAt when the request was sent, in milliseconds
   */
  public void observe(TargetId target, double perSecond, long sentAt) {
    Optional<AnnouncedLimit> known = known(target);
    boolean lower = known.isEmpty() || perSecond < known.get().perSecond();
    if (lower || sentAt > known.get().announcedAt()) {
      facts.observe(new LimitFact(target, new AnnouncedLimit(perSecond, context.now())));
    }
  }

  /**
   * Records that a response of a target announces no limit.
   *
   * @param sentAt when the request was sent, in milliseconds
   */
  public void observeNone(TargetId target, long sentAt) {
    if (known(target).isPresent()) {
      observe(target, Double.POSITIVE_INFINITY, sentAt);
    }
  }

  /** Merges a limit that another host reported. */
  void merge(LimitFact fact) {
    facts.merge(List.of(fact));
  }
}
