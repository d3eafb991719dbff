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
  private final AdmissionCredits turns = new AdmissionCredits();
  private final RetryDelays returnTimes;
  private final Map<ServiceName, ServiceTimeEstimate> work = new HashMap<>();

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
    this.returnTimes = new RetryDelays(context.random());
    loads.setDemandSource(this::told);
  }

  /** Decides on a request that has just come. */
  public OverloadDecision decide(ArrivingRequest arrival) {
    DemandKey key = arrival.demandKey();
    demand.count(key, context.now());
    Capacity capacity = capacity(arrival.service());
    if (!isOverloaded(arrival, capacity)) {
      turns.clear(arrival.service());
      return new OverloadDecision.Send();
    }
    double asked = perSecond(key);
    double part =
        FairShares.of(capacity.admittedPerSecond(), askedFor(arrival.service())).admittedRatio(key, asked);
    turns.addCredit(key, part);
    if (!turns.hasWaiting(key) && turns.tryAcquire(key)) {
      return new OverloadDecision.Send();
    }
    String inputs = inputs(arrival, capacity, asked, part);
    if (mayWait(arrival, capacity)) {
      turns.beginWaiting(key);
      return new OverloadDecision.Wait(retryMillis(), inputs);
    }
    long again = drawRetryAfterMillis(arrival.service(), arrival.deadline());
    return new OverloadDecision.Reject(again, inputs);
  }

  /**
   * Draws when a request that is refused is to come back, in milliseconds from now.
   *
   * @param deadline when its caller waits no longer, in milliseconds
   */
  public long drawRetryAfterMillis(ServiceName service, long deadline) {
    double excess = perSecond(DemandKey.allOf(service)) / capacity(service).perSecond();
    return returnTimes.drawMillis(excess, deadline - context.now());
  }

  /**
   * Draws when a request that is refused is to come back, where targets rest.
   *
   * @param restMillis when the first of them takes requests again, in milliseconds from now
   */
  public long drawRetryAfterRestMillis(long restMillis) {
    return restMillis + context.random().nextLong(RETRY_MILLIS);
  }

  /** Decides again on a request that waits. */
  public OverloadDecision decideWaiting(ArrivingRequest arrival) {
    Capacity capacity = capacity(arrival.service());
    if (turns.tryAcquire(arrival.demandKey()) || drawsRoom(arrival, capacity)) {
      return new OverloadDecision.Send();
    }
    long left = arrival.deadline() - context.now();
    String inputs = inputs(arrival, capacity, perSecond(arrival.demandKey()), 0);
    return left > LEFT_FOR_STREAM_MILLIS
        ? new OverloadDecision.Wait(retryMillis(), inputs)
        : new OverloadDecision.Reject(returnTimes.drawMillis(1, left), inputs);
  }

  /** Notes that a request waits no longer, whatever became of it. */
  public void endWaiting(ArrivingRequest arrival) {
    turns.endWaiting(arrival.demandKey());
  }

  /** Learns how long an engine took to a stream's first event, or a plain service to its answer. */
  public void recordServiceTime(ServiceName service, long millis) {
    if (!isBusy(service)) {
      work.computeIfAbsent(service, any -> new ServiceTimeEstimate()).record(millis);
    }
  }

  /** Only streams have the time to wait; and no more of them than can be done in time. */
  private boolean mayWait(ArrivingRequest arrival, Capacity capacity) {
    return capacity.isEngineService()
        && arrival.deadline() - context.now() > LEFT_FOR_STREAM_MILLIS
        && capacity.millisFor(waiting(arrival.service()) + 1) <= MOST_WAITING_MILLIS;
  }

  /**
   * Draws whether there is room for this one of all that wait: hosts that see the same room must
   * not all send what they have.
   */
  private boolean drawsRoom(ArrivingRequest arrival, Capacity capacity) {
    double prompts = QUEUED_PART * arrival.objectiveMillis() / capacity.serviceTimeMillis() * capacity.slots();
    double room = prompts - reading(arrival.service());
    return context.random().nextDouble() * waiting(arrival.service()) < room;
  }

  private long retryMillis() {
    return RETRY_MILLIS + context.random().nextLong(RETRY_MILLIS);
  }

  private String inputs(ArrivingRequest arrival, Capacity capacity, double asked, double part) {
    return String.format(
        Locale.ROOT,
        "asked=%.1f share=%.2f allAsked=%.1f canDo=%.1f waiting=%.0f loadsAgeMillis=%d",
        asked,
        part,
        perSecond(DemandKey.allOf(arrival.service())),
        capacity.perSecond(),
        waiting(arrival.service()),
        loads.oldestReportAgeMillis());
  }

  private Capacity capacity(ServiceName service) {
    List<TargetState> listed = targets.listed(service);
    boolean engines =
        listed.stream().anyMatch(target -> target.description().kind() == TargetKind.ENGINE);
    ServiceTimeEstimate known = work.get(service);
    double assumed = engines ? ASSUMED_PROMPT_MILLIS : 0;
    Capacity capacity = new Capacity(engines, known == null ? assumed : known.millis());
    for (TargetState target : listed) {
      TargetId id = target.description().id();
      if (!target.isFailing(context.now()) && !isResting.test(id)) {
        int places = engines ? 1 : target.description().slots();
        capacity.addTarget(places, limits.applyAsDouble(id));
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
  private boolean isOverloaded(ArrivingRequest arrival, Capacity capacity) {
    double asked = perSecond(DemandKey.allOf(arrival.service()));
    if (capacity.slots() == 0 || asked <= capacity.perSecond()) {
      return false;
    }
    if (capacity.isRateLimited()) {
      // Limited targets show no queue that grows, since what is over their limit is not sent there.
      return true;
    }
    return capacity.isEngineService()
        ? capacity.millisFor(reading(arrival.service())) > QUEUED_PART * arrival.objectiveMillis()
        : wasFull(arrival.service());
  }

  private boolean wasFull(ServiceName service) {
    long since = context.now() - FULL_MILLIS;
    return targets.listed(service).stream().anyMatch(target -> target.lastFullAt() > since);
  }

  /** Returns how many prompts engines have to read, of all hosts. */
  private int reading(ServiceName service) {
    int reading = 0;
    for (TargetState target : targets.listed(service)) {
      reading += target.readingHere() + loads.othersLoad(target.description().id()).reading();
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
    Map<DemandKey, Double> told = demand.ratesToReport(this::isBusy, context.now());
    turns
        .waitingByService()
        .forEach((service, count) -> told.put(DemandKey.waitingFor(service), (double) count));
    return told;
  }

  /** Returns the requests a second of all hosts for a service, by those who ask. */
  private Map<DemandKey, Double> askedFor(ServiceName service) {
    Map<DemandKey, Double> asked = new HashMap<>();
    add(loads.othersDemand(), service, asked);
    add(demand.ratesToReport(any -> true, context.now()), service, asked);
    return asked;
  }

  private static void add(
      Map<DemandKey, Double> more, ServiceName service, Map<DemandKey, Double> asked) {
    more.forEach(
        (key, rate) -> {
          if (key.isPerAccount() && key.service().equals(service)) {
            asked.merge(key, rate, Double::sum);
          }
        });
  }
}
