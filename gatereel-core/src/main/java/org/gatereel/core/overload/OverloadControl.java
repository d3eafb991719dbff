package org.gatereel.core.overload;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Decides at a request's arrival whether it is sent to a target, waits for its turn or is refused.
 *
 * <p>The load that it answers: more requests come than the targets of a service can do, so that all
 * of them would wait longer and longer. Then each account is served up to its fair share, as known
 * over all hosts. What goes beyond waits here if what waits can be done in the time that its
 * callers have, and is refused before it has waited otherwise. A host that hears nobody goes by the
 * requests that it sees itself.
 */
public final class OverloadControl {
  /** From this part of what a service can do on, hosts tell who asks for it. */
  private static final double BUSY_PART = 0.5;

  /**
   * How long prompts may wait at engines in the mean before requests wait here, as a part of the
   * time within which callers want the first event: up to here all are served in time.
   */
  private static final double QUEUED_PART = 0.5;

  /**
   * A plain service is overloaded for so long after a target said that it has no room. What is
   * asked for is an estimate, and so is what can be done: by them alone calls would be refused that
   * can be served.
   */
  private static final long FULL_MILLIS = 1_000;

  /** Assumed until streams were seen: some 8,000 tokens at 8 in a millisecond. */
  private static final double ASSUMED_PROMPT_MILLIS = 1_000;

  /** What waits at all hosts must be done within this time after the overload, at the full rate. */
  private static final double MOST_WAITING_MILLIS = 8_000;

  /** Left to a stream that has waited: its prompt and some 1,000 tokens beside others. */
  private static final long LEFT_FOR_STREAM_MILLIS = 10_000;

  /** As old as what hosts know of each other's load; asking sooner meets the same. */
  private static final long RETRY_MILLIS = 200;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final LoadExchange loads;
  private final ToDoubleFunction<TargetId> limits;
  private final Predicate<TargetId> isResting;
  private final Demand demand = new Demand();
  private final Turns turns = new Turns();
  private final ReturnTimes returnTimes;
  private final Map<ServiceName, UsualWork> work = new HashMap<>();

  /**
   * Makes a control that has reports tell what this host is asked for.
   *
   * @param limits tells how many requests a second a target takes; infinite where it names no limit
   * @param isResting tells whether a target wants nothing from this host for now
   */
  public OverloadControl(
      CoreContext context,
      TargetRegistry targets,
      LoadExchange loads,
      ToDoubleFunction<TargetId> limits,
      Predicate<TargetId> isResting) {
    this.context = context;
    this.targets = targets;
    this.loads = loads;
    this.limits = limits;
    this.isResting = isResting;
    this.returnTimes = new ReturnTimes(context.random());
    loads.tellDemand(this::told);
  }

  /** Decides on a request that has just come. */
  public Verdict arrive(Arrival arrival) {
    DemandKey key = arrival.key();
    demand.count(key, context.now());
    Capacity capacity = capacity(arrival.service());
    if (!isOverloaded(arrival, capacity)) {
      turns.clear(arrival.service());
      return new Verdict.Send();
    }
    double asked = perSecond(key);
    double part =
        FairShares.of(capacity.sharedPerSecond(), askedFor(arrival.service())).part(key, asked);
    turns.earn(key, part);
    if (!turns.hasWaiting(key) && turns.take(key)) {
      return new Verdict.Send();
    }
    String inputs = inputs(arrival, capacity, asked, part);
    if (mayWait(arrival, capacity)) {
      turns.beginWaiting(key);
      return new Verdict.Wait(retryMillis(), inputs);
    }
    long again = returnMillis(arrival.service(), arrival.deadline());
    return new Verdict.Refuse(again, inputs);
  }

  /**
   * Draws when a request that is refused is to come back, in milliseconds from now.
   *
   * @param deadline when its caller waits no longer, in milliseconds
   */
  public long returnMillis(ServiceName service, long deadline) {
    double excess = perSecond(DemandKey.allOf(service)) / capacity(service).perSecond();
    return returnTimes.millis(excess, deadline - context.now());
  }

  /**
   * Draws when a request that is refused is to come back, where targets rest.
   *
   * @param restMillis when the first of them takes requests again, in milliseconds from now
   */
  public long returnMillisAfter(long restMillis) {
    return restMillis + context.random().nextLong(RETRY_MILLIS);
  }

  /** Decides again on a request that waits. */
  public Verdict askAgain(Arrival arrival) {
    Capacity capacity = capacity(arrival.service());
    if (turns.take(arrival.key()) || drawsRoom(arrival, capacity)) {
      return new Verdict.Send();
    }
    long left = arrival.deadline() - context.now();
    String inputs = inputs(arrival, capacity, perSecond(arrival.key()), 0);
    return left > LEFT_FOR_STREAM_MILLIS
        ? new Verdict.Wait(retryMillis(), inputs)
        : new Verdict.Refuse(returnTimes.millis(1, left), inputs);
  }

  /** Notes that a request waits no longer, whatever became of it. */
  public void waitedEnough(Arrival arrival) {
    turns.endWaiting(arrival.key());
  }

  /** Learns how long an engine took to a stream's first event, or a plain service to its answer. */
  public void learn(ServiceName service, long millis) {
    if (!isBusy(service)) {
      work.computeIfAbsent(service, any -> new UsualWork()).learn(millis);
    }
  }

  /** Only streams have the time to wait; and no more of them than can be done in time. */
  private boolean mayWait(Arrival arrival, Capacity capacity) {
    return capacity.engines()
        && arrival.deadline() - context.now() > LEFT_FOR_STREAM_MILLIS
        && capacity.millisFor(waiting(arrival.service()) + 1) <= MOST_WAITING_MILLIS;
  }

  /**
   * Draws whether there is room for this one of all that wait: hosts that see the same room must
   * not all send what they have.
   */
  private boolean drawsRoom(Arrival arrival, Capacity capacity) {
    double prompts = QUEUED_PART * arrival.aimMillis() / capacity.workMillis() * capacity.places();
    double room = prompts - reading(arrival.service());
    return context.random().nextDouble() * waiting(arrival.service()) < room;
  }

  private long retryMillis() {
    return RETRY_MILLIS + context.random().nextLong(RETRY_MILLIS);
  }

  private String inputs(Arrival arrival, Capacity capacity, double asked, double part) {
    return String.format(
        Locale.ROOT,
        "asked=%.1f share=%.2f allAsked=%.1f canDo=%.1f waiting=%.0f loadsAgeMillis=%d",
        asked,
        part,
        perSecond(DemandKey.allOf(arrival.service())),
        capacity.perSecond(),
        waiting(arrival.service()),
        loads.ageMillis());
  }

  private Capacity capacity(ServiceName service) {
    List<TargetState> listed = targets.notLeaving(service);
    boolean engines =
        listed.stream().anyMatch(target -> target.description().kind() == TargetKind.ENGINE);
    UsualWork known = work.get(service);
    double assumed = engines ? ASSUMED_PROMPT_MILLIS : 0;
    Capacity capacity = new Capacity(engines, known == null ? assumed : known.millis());
    for (TargetState target : listed) {
      TargetId id = target.description().id();
      if (!target.isFailing(context.now()) && !isResting.test(id)) {
        int places = engines ? 1 : target.description().slots();
        capacity.add(places, limits.applyAsDouble(id));
      }
    }
    return capacity;
  }

  private boolean isBusy(ServiceName service) {
    return perSecond(DemandKey.allOf(service)) > BUSY_PART * capacity(service).perSecond();
  }

  /**
   * Returns whether more is asked for than can be done. Engines show it by the prompts that wait
   * there, which hosts tell each other at once, and plain services by having no room.
   */
  private boolean isOverloaded(Arrival arrival, Capacity capacity) {
    double asked = perSecond(DemandKey.allOf(arrival.service()));
    if (capacity.places() == 0 || asked <= capacity.perSecond()) {
      return false;
    }
    if (capacity.isLimited()) {
      // Limited targets show no queue that grows, since what is over their limit is not sent there.
      return true;
    }
    return capacity.engines()
        ? capacity.millisFor(reading(arrival.service())) > QUEUED_PART * arrival.aimMillis()
        : wasFull(arrival.service());
  }

  private boolean wasFull(ServiceName service) {
    long since = context.now() - FULL_MILLIS;
    return targets.notLeaving(service).stream().anyMatch(target -> target.lastRefusalAt() > since);
  }

  /** Returns how many prompts engines have to read, of all hosts. */
  private int reading(ServiceName service) {
    int reading = 0;
    for (TargetState target : targets.notLeaving(service)) {
      reading += target.localPrefills() + loads.othersAt(target.description().id()).reading();
    }
    return reading;
  }

  /** Returns how many requests wait for a turn, at all hosts. */
  private double waiting(ServiceName service) {
    return turns.waitingByService().getOrDefault(service, 0)
        + loads.othersDemand().getOrDefault(DemandKey.waitingFor(service), 0.0);
  }

  private double perSecond(DemandKey key) {
    return demand.perSecond(key, context.now()) + loads.othersDemand().getOrDefault(key, 0.0);
  }

  private Map<DemandKey, Double> told() {
    Map<DemandKey, Double> told = demand.told(this::isBusy, context.now());
    turns
        .waitingByService()
        .forEach((service, count) -> told.put(DemandKey.waitingFor(service), (double) count));
    return told;
  }

  /** Returns the requests a second of all hosts for a service, by those who ask. */
  private Map<DemandKey, Double> askedFor(ServiceName service) {
    Map<DemandKey, Double> asked = new HashMap<>();
    add(loads.othersDemand(), service, asked);
    add(demand.told(any -> true, context.now()), service, asked);
    return asked;
  }

  private static void add(
      Map<DemandKey, Double> more, ServiceName service, Map<DemandKey, Double> asked) {
    more.forEach(
        (key, rate) -> {
          if (key.isOfOne() && key.service().equals(service)) {
            asked.merge(key, rate, Double::sum);
          }
        });
  }
}
