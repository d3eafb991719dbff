package org.gatereel.core.overload;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.gatereel.core.estimate.FirstEventEstimates;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.room.TargetRoom;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Decides whether a request is sent to a target, waits or is rejected.
 *
 * <p>While a service is overloaded, each account is served up to its fair share of the demand at
 * all hosts. A request beyond that share waits if the waiting requests can be served before their
 * deadlines; otherwise it is rejected at once. A host without reports of other hosts uses its own
 * demand only.
 */
public final class OverloadControl {
  /** Above this ratio of demand to capacity, hosts report demand by account. */
  private static final double BUSY_RATIO = 0.5;

  /**
   * The mean time for which prompts may queue at engines before requests wait at this host, as a
   * ratio of the response time objective. Up to this time all requests are served in time.
   */
  private static final double QUEUED_TIME_RATIO = 0.5;

  /**
   * The service time of engines before the first stream was observed: some 8,000 tokens at 8 per
   * millisecond.
   */
  private static final double DEFAULT_PROMPT_MILLIS = 1_000;

  /** The longest time that serving all waiting requests may take. */
  private static final double MAX_WAITING_WORK_MILLIS = 8_000;

  /**
   * The time before its deadline that a waiting stream needs to be served: its prompt and some
   * 1,000 tokens beside other streams.
   */
  private static final long STREAM_RESERVE_MILLIS = 10_000;

  /** The age of load reports; the decision is unlikely to change sooner. */
  private static final long RETRY_INTERVAL_MILLIS = 200;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final LoadExchange loads;
  private final ToDoubleFunction<TargetId> limits;
  private final Predicate<TargetId> isBackingOff;
  private final OverallDemand demand;
  private final AdmissionCredits credits = new AdmissionCredits();
  private final RetryDelays retryDelays;
  private final Map<ServiceName, ServiceTimeEstimate> serviceTimes = new HashMap<>();
  private final StreamTimes streamTimes = new StreamTimes();
  private final ServicePlaces places;
  private final UrgencyAdmission urgencyAdmission;
  private FirstEventEstimates estimates = FirstEventEstimates.UNKNOWN;
  private TargetRoom room = TargetRoom.UNLIMITED;

  /**
   * Makes a control and registers it as the source of demand for load reports.
   *
   * @param limits returns the requests per second that a target accepts; infinite if it has no
   *     limit
   * @param isBackingOff returns whether this host is backing off from a target
   */
  public OverloadControl(
      CoreContext context,
      TargetRegistry targets,
      LoadExchange loads,
      ToDoubleFunction<TargetId> limits,
      Predicate<TargetId> isBackingOff) {
    this.context = context;
    this.targets = targets;
    this.loads = loads;
    this.limits = limits;
    this.isBackingOff = isBackingOff;
    this.demand = new OverallDemand(context, targets, loads);
    this.retryDelays = new RetryDelays(context.random());
    this.places = new ServicePlaces(targets, loads, this::isUsable);
    this.urgencyAdmission =
        new UrgencyAdmission(
            context, loads, places, streamTimes, this::situation, this::firstEventMillis);
    loads.setDemandSource(this::demandToReport);
  }

  /** Sets the sources of expected times and of free places, which are unknown without them. */
  public void setSources(FirstEventEstimates firstEvents, TargetRoom room) {
    estimates = firstEvents;
    this.room = room;
    places.setRoom(room);
  }

  /**
   * Counts an arriving request and decides on it. After a decision to wait, {@link #endWaiting}
   * must be called once.
   */
  public OverloadDecision decide(ArrivingRequest request) {
    return decide(request, () -> {});
  }

  /**
   * Counts an arriving request and decides on it.
   *
   * @param onTurn is run if the request, after a decision to wait, is to be decided on again at
   *     once
   */
  public OverloadDecision decide(ArrivingRequest request, Runnable onTurn) {
    DemandKey key = request.demandKey();
    demand.count(key);
    Capacity capacity = capacity(request.service());
    if (isOrderedByUrgency(request, capacity)) {
      demand.countRank(request.service(), request.urgency().rank());
      return urgencyAdmission.decide(request, onTurn);
    }
    if (!isOverloaded(request, capacity)) {
      credits.clear(request.service());
      return new OverloadDecision.Send();
    }
    double requested = demand.perSecond(key);
    double ratio =
        FairShares.of(capacity.admittedPerSecond(), demand.byAccount(request.service()))
            .admittedRatio(key, requested);
    credits.addCredit(key, ratio);
    if (!credits.hasWaiting(key) && credits.tryAcquire(key)) {
      return new OverloadDecision.Send();
    }
    String inputs = inputs(request, capacity, requested, ratio);
    if (mayWait(request, capacity)) {
      credits.beginWaiting(key);
      return new OverloadDecision.Wait(drawRetryMillis(), inputs);
    }
    long retryAfter = drawRetryAfterMillis(request.service(), request.deadline());
    return new OverloadDecision.Reject(retryAfter, inputs);
  }

  /**
   * Draws the {@code Retry-After} time of a rejected request, in milliseconds.
   *
   * @param deadline when the caller stops waiting, in milliseconds
   */
  public long drawRetryAfterMillis(ServiceName service, long deadline) {
    double overloadFactor =
        demand.perSecond(DemandKey.allOf(service)) / capacity(service).perSecond();
    return retryDelays.drawMillis(overloadFactor, deadline - context.now());
  }

  /**
   * Draws the {@code Retry-After} time, in milliseconds, of a request rejected because its targets
   * are backing off.
   *
   * @param backoffMillis the time until the first of them accepts requests again
   */
  public long drawRetryAfterBackoffMillis(long backoffMillis) {
    return backoffMillis + context.random().nextLong(RETRY_INTERVAL_MILLIS);
  }

  /** Decides again on a waiting request. */
  public OverloadDecision decideWaiting(ArrivingRequest request) {
    if (urgencyAdmission.isWaiting(request)) {
      return urgencyAdmission.decideWaiting(request);
    }
    if (targets.notLeaving(request.service()).isEmpty()) {
      // Like an arriving request, it is rejected at once for lack of a target.
      return new OverloadDecision.Send();
    }
    Capacity capacity = capacity(request.service());
    if (credits.tryAcquire(request.demandKey()) || drawsFreeCapacity(request, capacity)) {
      return new OverloadDecision.Send();
    }
    long remainingMillis = request.deadline() - context.now();
    String inputs = inputs(request, capacity, demand.perSecond(request.demandKey()), 0);
    return remainingMillis > STREAM_RESERVE_MILLIS
        ? new OverloadDecision.Wait(drawRetryMillis(), inputs)
        : new OverloadDecision.Reject(retryDelays.drawMillis(1, remainingMillis), inputs);
  }

  /** Records that a request no longer waits, whether it was sent, rejected or cancelled. */
  public void endWaiting(ArrivingRequest request) {
    if (urgencyAdmission.isWaiting(request)) {
      urgencyAdmission.endWaiting(request);
    } else {
      credits.endWaiting(request.demandKey());
    }
  }

  /** Returns how many requests wait at this host. */
  public int waitingCount() {
    return urgencyAdmission.waitingCount()
        + credits.waitingByService().values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Records how long a stream took from being sent to an engine until its end. */
  public void recordStreamTime(ArrivingRequest request, long millis) {
    streamTimes.record(request.service(), request.urgency(), millis);
  }

  private static boolean isOrderedByUrgency(ArrivingRequest request, Capacity capacity) {
    return request.urgency().isRanked() && capacity.isEngineService() && !capacity.isRateLimited();
  }

  /** Returns the engines that a request is not to be sent to, so that urgent ones find room. */
  public Set<TargetId> reservedTargets(ArrivingRequest request) {
    if (!request.urgency().isRanked() || urgencyAdmission.isOverdue(request)) {
      return Set.of();
    }
    List<TargetState> usable =
        targets.notLeaving(request.service()).stream()
            .filter(target -> target.description().kind() == TargetKind.ENGINE)
            .filter(this::isUsable)
            .toList();
    Set<TargetId> urgent =
        UrgentTargets.select(
            usable,
            demand.perSecond(DemandKey.ofRank(request.service(), 0)),
            firstEventMillis(request));
    if (request.urgency().rank() > 0) {
      return urgent;
    }
    boolean hasFree =
        usable.stream()
            .filter(target -> urgent.contains(target.description().id()))
            .anyMatch(target -> places.promptsAt(target) == 0);
    return hasFree
        ? targets.notLeaving(request.service()).stream()
            .map(target -> target.description().id())
            .filter(target -> !urgent.contains(target))
            .collect(Collectors.toSet())
        : Set.of();
  }

  private ServiceSituation situation(ArrivingRequest request) {
    Capacity capacity = capacity(request.service());
    double arrivals = demand.perSecond(DemandKey.allOf(request.service()));
    double served = capacity.admittedPerSecond();
    return new ServiceSituation(arrivals, served, fairWeight(request, arrivals, served));
  }

  private double firstEventMillis(ArrivingRequest request) {
    ServiceTimeEstimate observed = serviceTimes.get(request.service());
    return estimates
        .unloadedMillis(request.service(), request.size())
        .orElse(observed == null ? DEFAULT_PROMPT_MILLIS : observed.millis());
  }

  /** Returns the account's fair share relative to the ratio of all demand that can be served. */
  private double fairWeight(ArrivingRequest request, double arrivals, double served) {
    if (arrivals <= served || served == 0) {
      return 1;
    }
    DemandKey key = request.demandKey();
    double ratio =
        FairShares.of(served, demand.byAccount(request.service()))
            .admittedRatio(key, demand.perSecond(key));
    return Math.min(1, ratio * arrivals / served);
  }

  /**
   * Records how long an engine took until a stream's first event, or a plain service until its
   * response. Times of a busy service are ignored, since they include queueing.
   */
  public void recordServiceTime(ServiceName service, long millis) {
    if (!isBusy(service)) {
      serviceTimes.computeIfAbsent(service, any -> new ServiceTimeEstimate()).record(millis);
    }
  }

  /** Returns whether a request is a stream that can be served in time after waiting. */
  private boolean mayWait(ArrivingRequest request, Capacity capacity) {
    return capacity.isEngineService()
        && request.deadline() - context.now() > STREAM_RESERVE_MILLIS
        && capacity.millisFor(waiting(request.service()) + 1) <= MAX_WAITING_WORK_MILLIS;
  }

  /**
   * Draws whether a waiting request may use free capacity. All hosts observe the same free
   * capacity, so that each sends a waiting request only with the probability of free capacity
   * divided by waiting requests.
   */
  private boolean drawsFreeCapacity(ArrivingRequest request, Capacity capacity) {
    double maxPrompts =
        QUEUED_TIME_RATIO
            * request.objectiveMillis()
            / capacity.serviceTimeMillis()
            * capacity.slots();
    double free = maxPrompts - promptsInProgress(request.service());
    return context.random().nextDouble() * waiting(request.service()) < free;
  }

  private long drawRetryMillis() {
    return RETRY_INTERVAL_MILLIS + context.random().nextLong(RETRY_INTERVAL_MILLIS);
  }

  private String inputs(
      ArrivingRequest request, Capacity capacity, double requested, double ratio) {
    return String.format(
        Locale.ROOT,
        "asked=%.1f share=%.2f allAsked=%.1f canDo=%.1f waiting=%.0f loadsAgeMillis=%d",
        requested,
        ratio,
        demand.perSecond(DemandKey.allOf(request.service())),
        capacity.perSecond(),
        waiting(request.service()),
        loads.oldestReportAgeMillis());
  }

  private Capacity capacity(ServiceName service) {
    List<TargetState> listed = targets.notLeaving(service);
    boolean engines =
        listed.stream().anyMatch(target -> target.description().kind() == TargetKind.ENGINE);
    ServiceTimeEstimate estimate = serviceTimes.get(service);
    double defaultMillis = engines ? DEFAULT_PROMPT_MILLIS : 0;
    Capacity capacity = new Capacity(engines, estimate == null ? defaultMillis : estimate.millis());
    for (TargetState target : listed) {
      if (isUsable(target)) {
        int slots = engines ? 1 : target.description().slots();
        capacity.addTarget(slots, limits.applyAsDouble(target.description().id()));
      }
    }
    return capacity;
  }

  private boolean isUsable(TargetState target) {
    return !target.isFailing(context.now()) && !isBackingOff.test(target.description().id());
  }

  private boolean isBusy(ServiceName service) {
    return demand.perSecond(DemandKey.allOf(service)) > BUSY_RATIO * capacity(service).perSecond();
  }

  /**
   * Returns whether demand exceeds capacity and the targets confirm it: engines by queued prompts,
   * plain services by a recent rejection. Demand and capacity are estimates; by them alone, calls
   * that can be served would be rejected.
   */
  private boolean isOverloaded(ArrivingRequest request, Capacity capacity) {
    double requested = demand.perSecond(DemandKey.allOf(request.service()));
    if (capacity.slots() == 0 || requested <= capacity.perSecond()) {
      return false;
    }
    if (capacity.isRateLimited()) {
      // Requests above the limits are not sent, so that no queue grows at these targets.
      return true;
    }
    return capacity.isEngineService()
        ? capacity.millisFor(promptsInProgress(request.service()))
            > QUEUED_TIME_RATIO * request.objectiveMillis()
        : demand.isFull(request.service());
  }

  /** Returns how many prompts of all hosts the engines have not finished reading. */
  private int promptsInProgress(ServiceName service) {
    int prompts = 0;
    for (TargetState target : targets.notLeaving(service)) {
      prompts += places.promptsAt(target);
    }
    return prompts;
  }

  /** Returns how many requests wait at all hosts. */
  private double waiting(ServiceName service) {
    return credits.waitingByService().getOrDefault(service, 0)
        + demand.others(DemandKey.waitingFor(service));
  }

  private Map<DemandKey, Double> demandToReport() {
    Map<DemandKey, Double> reported = demand.toReport(this::isBusy);
    credits
        .waitingByService()
        .forEach((service, count) -> reported.put(DemandKey.waitingFor(service), (double) count));
    reported.putAll(urgencyAdmission.countsToReport());
    reported.putAll(room.waitingToReport());
    return reported;
  }
}
