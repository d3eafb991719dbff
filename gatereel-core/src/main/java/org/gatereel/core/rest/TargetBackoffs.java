package org.gatereel.core.rest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.BackoffFact;
import org.gatereel.core.statement.FactKind;
import org.gatereel.core.statement.TargetFacts;

/**
 * The targets that have requested a backoff from this host.
 *
 * <p>A backoff is binding only for the host that received it. Other hosts learn of it and prefer
 * other targets, because the load of all hosts caused it.
 */
public final class TargetBackoffs {
  /** Spreads the first requests of hosts that were rejected at the same time. */
  private static final long MAX_JITTER_MILLIS = 100;

  /**
   * Time after the end of a backoff without requests, after which the target is no longer limited.
   */
  private static final long IDLE_EXPIRY_MILLIS = 10_000;

  private final CoreContext context;
  private final TargetFacts facts;
  private final Map<TargetId, Backoff> backoffs = new HashMap<>();

  /** The backoff of one target, with times of the clock that includes suspensions. */
  private static final class Backoff {
    private long until = Long.MIN_VALUE;
    private SlowStart slowStart = new SlowStart();

    private boolean isExpired(long now) {
      return now >= until && (slowStart.isComplete(now) || now - until > IDLE_EXPIRY_MILLIS);
    }

    private boolean admits(long now) {
      return now >= until && slowStart.admits(now);
    }
  }

  /**
   * Makes an empty set of backoffs.
   *
   * @param facts the facts that hosts exchange
   */
  public TargetBackoffs(CoreContext context, TargetFacts facts) {
    this.context = context;
    this.facts = facts;
  }

  /**
   * Records that a target requested a backoff from this host. The latest end of several counts.
   *
   * @param millis the duration from now in milliseconds
   */
  public void observe(TargetId target, long millis) {
    facts.observe(new BackoffFact(target, context.now(), context.now() + millis));
    Backoff backoff = backoffs.computeIfAbsent(target, any -> new Backoff());
    long until =
        context.nowIncludingSuspensions() + millis + context.random().nextLong(MAX_JITTER_MILLIS);
    backoff.until = Math.max(backoff.until, until);
    backoff.slowStart = new SlowStart();
  }

  /** Returns whether the backoff of a target has not ended. */
  public boolean isBackingOff(TargetId target) {
    Backoff backoff = backoffs.get(target);
    return backoff != null && context.nowIncludingSuspensions() < backoff.until;
  }

  /** Returns whether a target has requested a backoff from any host that has not ended. */
  public boolean isBackingOffElsewhere(TargetId target) {
    return facts
        .find(FactKind.REST, target)
        .map(BackoffFact.class::cast)
        .filter(backoff -> backoff.until() > context.now())
        .isPresent();
  }

  /** Records that a request is sent to a target. */
  public void recordSent(TargetId target) {
    Backoff backoff = backoffs.get(target);
    if (backoff != null) {
      backoff.slowStart.recordSent(context.nowIncludingSuspensions());
    }
  }

  /** Returns the targets that must not be sent a request now. */
  public Set<TargetId> blockedTargets() {
    if (backoffs.isEmpty()) {
      return Set.of();
    }
    long now = context.nowIncludingSuspensions();
    backoffs.values().removeIf(backoff -> backoff.isExpired(now));
    Set<TargetId> blocked = new HashSet<>();
    backoffs.forEach(
        (target, backoff) -> {
          if (!backoff.admits(now)) {
            blocked.add(target);
          }
        });
    return blocked;
  }

  /** Returns the time in milliseconds until a target may be sent a request; 0 if it may now. */
  public long millisUntilAllowed(TargetId target) {
    Backoff backoff = backoffs.get(target);
    long now = context.nowIncludingSuspensions();
    if (backoff == null || backoff.admits(now)) {
      return 0;
    }
    return now < backoff.until
        ? backoff.until - now
        : Math.max(1, backoff.slowStart.nextAdmissionAt() - now);
  }

  /** Returns the number of targets whose backoff has not ended. */
  public int size() {
    return (int) backoffs.keySet().stream().filter(this::isBackingOff).count();
  }
}
