package org.gatereel.core.rest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.FactKind;
import org.gatereel.core.statement.RestFact;
import org.gatereel.core.statement.TargetFacts;

/**
 * The targets that want nothing from this host for now.
 *
 * <p>A target asks one host for rest, and binds that host alone. Others are told, and ask elsewhere
 * first: what is too much for the target was sent by all of them.
 */
public final class Rests {
  /** Hosts that were refused together do not come back together. */
  private static final long SPREAD_MILLIS = 100;

  /** A target that nobody has sent anything to for so long after its rest is like any other. */
  private static final long UNUSED_MILLIS = 10_000;

  private final CoreContext context;
  private final TargetFacts facts;
  private final Map<TargetId, Rest> rests = new HashMap<>();

  /** What is known of one target's rest; times by the clock that counts suspensions. */
  private static final class Rest {
    private long until = Long.MIN_VALUE;
    private Reopening reopening = new Reopening();

    private boolean isOver(long now) {
      return now >= until && (reopening.isOver(now) || now - until > UNUSED_MILLIS);
    }

    private boolean admits(long now) {
      return now >= until && reopening.admits(now);
    }
  }

  /**
   * Makes it; no target rests.
   *
   * @param facts by which hosts tell each other of rests
   */
  public Rests(CoreContext context, TargetFacts facts) {
    this.context = context;
    this.facts = facts;
  }

  /**
   * A target asked this host for rest. Of several the longest holds.
   *
   * @param millis for how long, from now on
   */
  public void hear(TargetId target, long millis) {
    facts.hear(new RestFact(target, context.now(), context.now() + millis));
    Rest rest = rests.computeIfAbsent(target, any -> new Rest());
    long until =
        context.nowIncludingSuspensions() + millis + context.random().nextLong(SPREAD_MILLIS);
    rest.until = Math.max(rest.until, until);
    rest.reopening = new Reopening();
  }

  /** Returns whether a target is in the time for which it asked this host for rest. */
  public boolean isResting(TargetId target) {
    Rest rest = rests.get(target);
    return rest != null && context.nowIncludingSuspensions() < rest.until;
  }

  /** Returns whether another host was asked for rest, so that this one better asks elsewhere. */
  public boolean restsElsewhere(TargetId target) {
    return facts
        .find(FactKind.REST, target)
        .map(RestFact.class::cast)
        .filter(rest -> rest.until() > context.now())
        .isPresent();
  }

  /** Notes that a request is sent to a target. */
  public void sent(TargetId target) {
    Rest rest = rests.get(target);
    if (rest != null) {
      rest.reopening.noteSent(context.nowIncludingSuspensions());
    }
  }

  /** Returns the targets that are sent nothing just now. */
  public Set<TargetId> barred() {
    if (rests.isEmpty()) {
      return Set.of();
    }
    long now = context.nowIncludingSuspensions();
    rests.values().removeIf(rest -> rest.isOver(now));
    Set<TargetId> barred = new HashSet<>();
    rests.forEach(
        (target, rest) -> {
          if (!rest.admits(now)) {
            barred.add(target);
          }
        });
    return barred;
  }

  /** Returns in how many milliseconds a target may be sent a request; 0 if it may now. */
  public long millisTo(TargetId target) {
    Rest rest = rests.get(target);
    long now = context.nowIncludingSuspensions();
    if (rest == null || rest.admits(now)) {
      return 0;
    }
    return now < rest.until ? rest.until - now : Math.max(1, rest.reopening.nextAt() - now);
  }

  /** Returns how many targets rest. */
  public int size() {
    return (int) rests.keySet().stream().filter(this::isResting).count();
  }
}
