package org.gatereel.core.overload;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.scheduling.Urgency;

/**
 * Admits streams to engines in the order of urgency over all hosts, and has the others wait.
 *
 * <p>All hosts observe about the same free places and the same waiting requests by class of
 * urgency. Each draws for its requests with the probability of the places that more urgent classes
 * leave, divided by the requests of the class that compete for them. Within this host a place that
 * is drawn goes to the first of the {@link WaitingLine}.
 */
final class UrgencyAdmission {
  /** How many prompts an engine may have when a request of the most urgent rank is sent. */
  private static final int FIRST_RANK_PROMPT_LIMIT = 2;

  private static final int PROMPT_LIMIT = 1;

  /** The share of places for requests that have waited for most of their time, at any rank. */
  private static final double OVERDUE_SHARE = 0.25;

  /** A request is overdue once its slack is below this ratio of its objective. */
  private static final double OVERDUE_SLACK_RATIO = 0.25;

  /** The least time for which hosts admit requests unknown to one another. */
  private static final long MIN_REPORT_AGE_MILLIS = 200;

  /** Reports of more than this age are those of hosts that have no change to report. */
  private static final long MAX_REPORT_AGE_MILLIS = 600;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long RETRY_INTERVAL_MILLIS = 200;

  private static final long MIN_RETRY_AFTER_MILLIS = 500;

  /** Callers honour a {@code Retry-After} time up to their remaining time divided by this. */
  private static final int REMAINING_TIME_DIVISOR = 3;

  private final CoreContext context;
  private final LoadExchange loads;
  private final ServicePlaces places;
  private final StreamTimes streamTimes;
  private final Function<ArrivingRequest, ServiceSituation> situations;
  private final ToDoubleFunction<ArrivingRequest> firstEventMillis;
  private final WaitingLine line = new WaitingLine();

  /**
   * Makes an admission without waiting requests.
   *
   * @param situations returns the situation of a request's service
   * @param firstEventMillis returns the time until a request's first event at an idle engine
   */
  UrgencyAdmission(
      CoreContext context,
      LoadExchange loads,
      ServicePlaces places,
      StreamTimes streamTimes,
      Function<ArrivingRequest, ServiceSituation> situations,
      ToDoubleFunction<ArrivingRequest> firstEventMillis) {
    this.context = context;
    this.loads = loads;
    this.places = places;
    this.streamTimes = streamTimes;
    this.situations = situations;
    this.firstEventMillis = firstEventMillis;
  }

  /**
   * Decides on an arriving request. After a decision to wait, {@link #endWaiting} must be called.
   *
   * @param onTurn is run when the waiting request is admitted in the turn of another one
   */
  OverloadDecision decide(ArrivingRequest request, Runnable onTurn) {
    ServiceSituation situation = situations.apply(request);
    if (situation.servedPerSecond() == 0) {
      // No engine is usable, so that waiting for a place has no end in sight.
      return new OverloadDecision.Send();
    }
    Contention contention = contention(request, situation);
    if (contention.rivals() == 0 && contention.room() >= contention.contenders()) {
      return new OverloadDecision.Send();
    }
    String inputs = contention.inputs();
    long missingMillis = contention.missingMillis();
    if (missingMillis > 0) {
      return new OverloadDecision.Reject(drawRetryAfterMillis(request, missingMillis), inputs);
    }
    line.add(request, onTurn);
    OverloadDecision drawn = drawFor(request, contention);
    if (drawn instanceof OverloadDecision.Send) {
      line.remove(request);
    }
    return drawn;
  }

  /** Decides again on a waiting request. */
  OverloadDecision decideWaiting(ArrivingRequest request) {
    if (line.isAdmitted(request)) {
      return new OverloadDecision.Send();
    }
    ServiceSituation situation = situations.apply(request);
    if (situation.servedPerSecond() == 0) {
      return new OverloadDecision.Send();
    }
    Contention contention = contention(request, situation);
    long missingMillis = reserveMillis(request) - remainingMillis(request);
    if (missingMillis > 0) {
      return new OverloadDecision.Reject(
          drawRetryAfterMillis(request, missingMillis), contention.inputs());
    }
    return drawFor(request, contention);
  }

  boolean isWaiting(ArrivingRequest request) {
    return line.contains(request);
  }

  void endWaiting(ArrivingRequest request) {
    line.remove(request);
  }

  int waitingCount() {
    return line.size();
  }

  /** Returns how many requests wait at this host, by class, for load reports. */
  Map<DemandKey, Double> countsToReport() {
    Map<DemandKey, Double> counts = new HashMap<>();
    for (ServiceName service : line.services()) {
      line.countsByClass(service, this::classOf)
          .forEach(
              (urgencyClass, count) ->
                  counts.put(DemandKey.waitingFor(service, urgencyClass), (double) count));
    }
    return counts;
  }

  private OverloadDecision drawFor(ArrivingRequest request, Contention contention) {
    OverloadDecision.Wait wait = new OverloadDecision.Wait(drawRetryMillis(), contention.inputs());
    if (context.random().nextDouble() >= contention.chance()) {
      return wait;
    }
    int urgencyClass = classOf(request);
    ArrivingRequest first =
        line.first(request.service(), urgencyClass, this::classOf, context.now()).orElse(request);
    Runnable onTurn = line.admit(first, context.now());
    if (first == request) {
      return new OverloadDecision.Send();
    }
    context.schedule(0, onTurn);
    return wait;
  }

  /**
   * Returns the class of a request: its rank while its objective can be met, and behind all ranks
   * after that.
   */
  private int classOf(ArrivingRequest request) {
    Urgency urgency = request.urgency();
    boolean canMeetObjective = slackMillis(request) >= 0;
    return canMeetObjective ? urgency.rank() : urgency.ranks() + urgency.rank();
  }

  /** Returns whether a request has waited for most of the time that its objective allows. */
  boolean isOverdue(ArrivingRequest request) {
    return slackMillis(request) < OVERDUE_SLACK_RATIO * request.objectiveMillis();
  }

  /** Returns the time until the request must be sent to meet its objective. */
  private double slackMillis(ArrivingRequest request) {
    return request.dueAt() - context.now() - firstEventMillis.applyAsDouble(request);
  }

  private long remainingMillis(ArrivingRequest request) {
    return request.deadline() - context.now();
  }

  private long reserveMillis(ArrivingRequest request) {
    return streamTimes.reserveMillis(request.service(), request.urgency());
  }

  private Contention contention(ArrivingRequest request, ServiceSituation situation) {
    int urgencyClass = classOf(request);
    double ahead = 0;
    double rivals = 0;
    Map<Integer, Integer> here = line.countsByClass(request.service(), this::classOf);
    for (int other = 0; other <= urgencyClass; other++) {
      double waiting =
          here.getOrDefault(other, 0)
              + loads
                  .othersDemand()
                  .getOrDefault(DemandKey.waitingFor(request.service(), other), 0.0);
      if (other < urgencyClass) {
        ahead += waiting;
      } else {
        rivals = waiting;
      }
    }
    return new Contention(request, situation, urgencyClass, ahead, rivals);
  }

  private long drawRetryMillis() {
    return RETRY_INTERVAL_MILLIS + context.random().nextLong(RETRY_INTERVAL_MILLIS);
  }

  /**
   * Draws the time after which the waiting requests ahead will have been served, spread over as
   * long again; at most the latest time that callers honour, and then over its last quarter.
   */
  private long drawRetryAfterMillis(ArrivingRequest request, long missingMillis) {
    long latest = Math.max(1, remainingMillis(request) / REMAINING_TIME_DIVISOR);
    long servedAfter = Math.max(MIN_RETRY_AFTER_MILLIS, missingMillis);
    long earliest = Math.min(servedAfter, latest - latest / 4);
    long spread = Math.min(servedAfter, latest - earliest);
    return earliest + context.random().nextLong(spread + 1);
  }

  /**
   * What a request competes with.
   *
   * @param ahead how many requests of more urgent classes wait at all hosts
   * @param rivals how many requests of its own class wait at all hosts, itself included if it waits
   */
  private final class Contention {
    private final ArrivingRequest request;
    private final ServiceSituation situation;
    private final int urgencyClass;
    private final double slackMillis;
    private final double ahead;
    private final double rivals;
    private final double free;

    private Contention(
        ArrivingRequest request,
        ServiceSituation situation,
        int urgencyClass,
        double ahead,
        double rivals) {
      this.request = request;
      this.situation = situation;
      this.urgencyClass = urgencyClass;
      this.slackMillis = slackMillis(request);
      this.ahead = ahead;
      this.rivals = rivals;
      boolean first = request.urgency().rank() == 0;
      this.free = places.free(request, first ? FIRST_RANK_PROMPT_LIMIT : PROMPT_LIMIT);
    }

    private double rivals() {
      return rivals;
    }

    /** Returns the places that more urgent classes leave. */
    private double room() {
      double left = free - ahead;
      return isOverdue(request)
          ? Math.max(left, OVERDUE_SHARE * places.free(request, FIRST_RANK_PROMPT_LIMIT))
          : left;
    }

    /** Returns the requests that may take the same places before this host learns of it. */
    private double contenders() {
      if (request.urgency().rank() == 0) {
        return Math.max(1, rivals);
      }
      long ageMillis =
          Math.max(
              MIN_REPORT_AGE_MILLIS,
              Math.min(MAX_REPORT_AGE_MILLIS, loads.oldestReportAgeMillis()));
      return Math.max(1, rivals + situation.arrivalsPerSecond() * ageMillis / MILLIS_PER_SECOND);
    }

    private double chance() {
      return room() / contenders() * situation.fairWeight();
    }

    /** Returns by how much the request would end after its deadline; negative if before. */
    private long missingMillis() {
      double queued = Math.max(0, ahead + rivals + 1 - Math.max(0, free));
      double waitMillis = queued * MILLIS_PER_SECOND / situation.servedPerSecond();
      return Math.round(waitMillis) + reserveMillis(request) - remainingMillis(request);
    }

    private String inputs() {
      return String.format(
          Locale.ROOT,
          "rank=%d class=%d slackMillis=%.0f free=%.1f ahead=%.0f rivals=%.0f asked=%.1f"
              + " canDo=%.1f weight=%.2f reserveMillis=%d loadsAgeMillis=%d",
          request.urgency().rank(),
          urgencyClass,
          slackMillis,
          free,
          ahead,
          rivals,
          situation.arrivalsPerSecond(),
          situation.servedPerSecond(),
          situation.fairWeight(),
          reserveMillis(request),
          loads.oldestReportAgeMillis());
    }
  }
}
