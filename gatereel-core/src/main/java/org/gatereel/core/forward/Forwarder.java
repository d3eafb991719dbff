package org.gatereel.core.forward;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.choice.TargetSelector;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.document.DocumentFreshness;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.estimate.FirstEventEstimates;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TargetLimits;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenIssuer;
import org.gatereel.core.limit.TokenPort;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.overload.OverloadControl;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.rest.TargetBackoffs;
import org.gatereel.core.retry.RetryBudgets;
import org.gatereel.core.retry.StreamRetryTokens;
import org.gatereel.core.rollout.RolloutControl;
import org.gatereel.core.room.CountedRoom;
import org.gatereel.core.room.EngineLimits;
import org.gatereel.core.scheduling.SchedulingFeature;
import org.gatereel.core.scheduling.Urgency;
import org.gatereel.core.speed.TargetSpeeds;
import org.gatereel.core.statement.FactKind;
import org.gatereel.core.statement.TargetFact;
import org.gatereel.core.statement.TargetFacts;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/** Forwards requests of callers to targets; holds the decisions and performs no I/O itself. */
public final class Forwarder implements TokenIssuer {
  private final CoreContext context;
  private final TargetRegistry targets;
  private final ConfigurationHolder configuration;
  private final ForwardPolicy policy;
  private final TargetPort port;
  private final ForwardObserver observer;
  private final LoadExchange loads;
  private final RolloutControl rollouts;
  private final TargetSelector selector;
  private final OverloadControl overload;
  private final CountedRoom room;
  private final RetryBudgets budgets;
  private final StreamRetryTokens streamRetries;
  private final ShutdownPolicy shutdownPolicy;
  private final PromptLocator prompts;
  private final PoisonControl poison;
  private final TargetExitDetector exitDetector;
  private final TargetLimits limits;
  private final TargetBackoffs backoffs;
  private final AnnouncementReceiver announcements;
  private final Optional<TargetSpeeds> speeds;
  private final Set<Exchange> exchanges = new LinkedHashSet<>();
  private final Set<TargetId> probing = new HashSet<>();
  private DocumentFreshness freshness;

  /**
   * Creates a forwarder.
   *
   * @param directory the known hosts, among which common limits are divided
   * @param tokenPort requests tokens from other hosts
   * @param loads exchanges the load at targets between hosts
   * @param rollouts decides which versions of targets receive requests
   * @param poison quarantines poison requests
   */
  public Forwarder(
      CoreContext context,
      TargetRegistry targets,
      ConfigurationHolder configuration,
      ForwardPolicy policy,
      TargetPort port,
      ForwardObserver observer,
      HostDirectory directory,
      TokenPort tokenPort,
      LoadExchange loads,
      RolloutControl rollouts,
      PoisonControl poison) {
    this.context = context;
    this.targets = targets;
    this.configuration = configuration;
    this.policy = policy;
    this.observer = observer;
    this.loads = loads;
    this.rollouts = rollouts;
    TargetFacts facts = new TargetFacts(context, target -> targets.find(target).isPresent());
    this.limits = new TargetLimits(context, facts, directory, tokenPort);
    this.backoffs = new TargetBackoffs(context, facts);
    this.announcements = new AnnouncementReceiver(context, facts, limits.announced(), backoffs);
    this.port = new ObservingTargetPort(context, port, announcements);
    this.selector =
        new TargetSelector(context, targets, loads, directory, backoffs::isBackingOffElsewhere);
    this.speeds =
        policy.has(SchedulingFeature.TARGET_SPEED)
            ? Optional.of(new TargetSpeeds(context, targets, loads))
            : Optional.empty();
    selector.setEstimates(estimates());
    this.budgets = new RetryBudgets(context, policy.retryLimit(), directory, tokenPort);
    this.streamRetries = new StreamRetryTokens(context, budgets, directory, tokenPort);
    this.shutdownPolicy = new ShutdownPolicy(context);
    this.prompts = new PromptLocator(context, targets, this.port, backoffs::isBackingOff);
    this.poison = poison;
    this.exitDetector =
        new TargetExitDetector(context, this.port, poison, policy.probeTimeoutMillis());
    this.overload =
        new OverloadControl(
            context, targets, loads, limits.announced()::perSecond, backoffs::isBackingOff);
    this.room = new CountedRoom(context, targets, loads, this::engineLimits);
    overload.setSources(estimates(), room);
    loads.setTargetFacts(facts);
    facts.onChange(this::onTargetFact);
    poison.onQuarantined(this::onQuarantined);
    this.freshness = new DocumentFreshness(context, Long.MAX_VALUE);
  }

  /** Sets whether the list of targets is recent enough; without it, it always is. */
  public void setFreshness(DocumentFreshness documents) {
    freshness = documents;
  }

  DocumentFreshness freshness() {
    return freshness;
  }

  private Optional<EngineLimits> engineLimits(ServiceName service) {
    return policy.has(SchedulingFeature.TARGET_ROOM)
        ? configuration.current().flatMap(current -> current.engineLimits(service))
        : Optional.empty();
  }

  /** Handles an announcement of a target, received by this host or by another one. */
  private void onTargetFact(TargetFact fact) {
    if (fact.kind() == FactKind.LEAVING) {
      targets.recordLeaving(fact.target());
    }
    loads.scheduleReports();
  }

  /**
   * Accepts a complete request; the response is sent through {@code caller}, possibly before this
   * returns. A request that cannot be handled is rejected, so that nothing is thrown.
   *
   * <p>Returns the exchange, or empty if the request was rejected before one was created.
   */
  public Optional<Exchange> accept(ForwardRequest request, CallerPort caller) {
    return accept(request, caller, context.now());
  }

  /**
   * Accepts a request like {@link #accept(ForwardRequest, CallerPort)}.
   *
   * @param receivedAt when the request was received, from which its deadline counts
   */
  Optional<Exchange> accept(ForwardRequest request, CallerPort caller, long receivedAt) {
    CallerResponse response = new CallerResponse(caller);
    RequestSteps steps =
        new RequestSteps(
            context, observer, request.id(), () -> rejectAfterFailure(request, response));
    return steps.call(() -> accept(request, response, steps, receivedAt));
  }

  private Optional<Exchange> accept(
      ForwardRequest request, CallerResponse response, RequestSteps steps, long receivedAt) {
    ConfigurationHolder.Lookup found =
        configuration.lookUp(request.hostName(), request.path(), request.key());
    if (found instanceof ConfigurationHolder.Lookup.Allowed allowed) {
      if (!shutdownPolicy.accepts(allowed.route(), deadlineMillis(allowed.route(), request))) {
        reject(request, response, Rejection.STOPPING);
        return Optional.empty();
      }
      Exchange exchange = new Exchange(this, request, response, steps, allowed, receivedAt);
      exchanges.add(exchange);
      steps.run(exchange::start);
      return Optional.of(exchange);
    }
    reject(request, response, ((ConfigurationHolder.Lookup.Denied) found).rejection());
    return Optional.empty();
  }

  /** Returns the longest time that a request may take. */
  static long deadlineMillis(Route route, ForwardRequest request) {
    return Math.min(route.timeoutMillis(), request.remainingMillis().orElse(Long.MAX_VALUE));
  }

  private void rejectAfterFailure(ForwardRequest request, CallerResponse response) {
    if (response.rejectOrAbort(Rejection.HOST_FAILED_BEFORE_SENDING, policy.retryAfterMillis())) {
      recordRejected(request, Rejection.HOST_FAILED_BEFORE_SENDING);
    }
  }

  /** Refuses a request that {@link #accept} has not been given. */
  void refuse(ForwardRequest request, CallerPort caller, Rejection rejection) {
    CallerResponse response = new CallerResponse(caller);
    RequestSteps steps =
        new RequestSteps(
            context, observer, request.id(), () -> rejectAfterFailure(request, response));
    steps.run(() -> reject(request, response, rejection));
  }

  /** Rejects a request for which no exchange was created. */
  private void reject(ForwardRequest request, CallerResponse response, Rejection rejection) {
    response.reject(rejection, policy.retryAfterMillis());
    recordRejected(request, rejection);
  }

  private void recordRejected(ForwardRequest request, Rejection rejection) {
    context.logEvent(
        EventCode.REQUEST_REFUSED,
        request.id(),
        "reason="
            + rejection
            + " configuration="
            + configuration.version()
            + " ageMillis="
            + configuration.ageMillis());
    observer.recordRejection(rejection);
  }

  /** Returns how many requests are still open. */
  public int openExchangeCount() {
    return exchanges.size();
  }

  /**
   * Starts the shutdown.
   *
   * @param lastAcceptedAt when the last new request is accepted
   * @param endAt when all requests must have ended
   */
  public void beginShutdown(long lastAcceptedAt, long endAt) {
    shutdownPolicy.begin(lastAcceptedAt, endAt);
  }

  boolean isStopping() {
    return shutdownPolicy.isStopping();
  }

  /** Ends all open requests because this host is shutting down. */
  public void stopAll() {
    List.copyOf(exchanges).forEach(exchange -> exchange.steps().run(exchange::endForShutdown));
  }

  /** Probes a target, unless a probe of it is already pending. */
  void probe(TargetState target) {
    TargetId id = target.description().id();
    if (!probing.add(id)) {
      return;
    }
    long probedAt = context.now();
    port.probe(
        target.description(),
        policy.probeTimeoutMillis(),
        result -> {
          probing.remove(id);
          if (result.isResponse()) {
            targets.recordResponse(target);
            moveFromLostPath(target, probedAt);
          } else {
            onTargetUnreachable(target, probedAt, result);
          }
        });
  }

  /**
   * Ends or replaces the attempts at a target that have received no data since a probe of it was
   * sent, which failed.
   */
  private void onTargetUnreachable(TargetState target, long probedAt, ProbeResult result) {
    context.logEvent(EventCode.TARGET_UNREACHABLE, target.description().id().toString(), "");
    targets.recordFailure(target, TargetFailure.TIMEOUT);
    loads.scheduleReports();
    forEachSilent(
        target,
        probedAt,
        Long.MAX_VALUE,
        result == ProbeResult.GONE
            ? exchange -> exchange.onTargetLost(TargetFailure.TIMEOUT)
            : exchange -> exchange.onTargetSilent(TargetFailure.TIMEOUT));
  }

  /**
   * Moves silent streams whose connection was opened before the direct path to the target was lost.
   * The target itself responds through another host.
   */
  private void moveFromLostPath(TargetState target, long probedAt) {
    TargetId id = target.description().id();
    port.pathLostAt(id)
        .ifPresent(
            lostAt -> {
              forEachSilent(
                  target,
                  probedAt,
                  lostAt,
                  exchange -> exchange.onTargetSilent(TargetFailure.TIMEOUT));
              targets.retractFailures(id);
            });
  }

  /**
   * Runs an action for each exchange that may move, was sent to a target before a time and is
   * silent since another.
   */
  private void forEachSilent(
      TargetState target, long silentSince, long sentBefore, Consumer<Exchange> action) {
    for (Exchange exchange : List.copyOf(exchanges)) {
      boolean isAffected =
          exchange.canMove()
              && exchange.currentTarget().isPresent()
              && exchange.attempt().wasSentBefore(sentBefore)
              && StallDetector.isSilentSince(exchange.attempt(), target, silentSince);
      if (isAffected) {
        exchange.steps().run(() -> action.accept(exchange));
      }
    }
  }

  /**
   * Ends the exchanges with a quarantined feature, except streams that are already being delivered.
   *
   * <p>If requests of other content share the feature, and this host has observed its last end, one
   * attempt stays open: its success shows that targets have ended for other reasons.
   */
  private void onQuarantined(Fingerprint feature, PoisonControl.Source source) {
    List<Exchange> affected =
        exchanges.stream().filter(exchange -> exchange.poison().has(feature)).toList();
    boolean keepsOne = feature.isPart() && source == PoisonControl.Source.HERE;
    Optional<Exchange> kept = keepsOne ? oldestExecuting(affected) : Optional.empty();
    affected.stream()
        .filter(exchange -> kept.isEmpty() || exchange != kept.get())
        .forEach(exchange -> exchange.steps().run(exchange::onQuarantined));
  }

  private static Optional<Exchange> oldestExecuting(List<Exchange> among) {
    return among.stream()
        .filter(Exchange::isExecuting)
        .min(Comparator.comparingLong(exchange -> exchange.attempt().startedAt()));
  }

  @Override
  public void issue(TokenRequest subject, int count, Consumer<Optional<TokenGrant>> callback) {
    if (subject instanceof TokenRequest.LimitTokens requests) {
      limits.issue(requests, count, callback);
    } else if (subject instanceof TokenRequest.RetryTokens retryTokens) {
      callback.accept(Optional.of(new TokenGrant(issueRetries(retryTokens, count), 0)));
    } else if (subject instanceof TokenRequest.UnusedRetryTokens unused) {
      int lent = budgets.lend(unused.service(), count);
      logLent(unused.service(), count, lent);
      callback.accept(Optional.of(new TokenGrant(lent, 0)));
    }
  }

  private int issueRetries(TokenRequest.RetryTokens request, int count) {
    ServiceName service = request.service();
    int granted =
        request.elsewhere()
            ? budgets.issueElsewhere(service, count)
            : budgets.issue(service, count);
    logLent(service, count, granted);
    return granted;
  }

  private void logLent(ServiceName service, int asked, int lent) {
    context.logEvent(EventCode.REPEATS_LENT, service.value(), "asked=" + asked + " lent=" + lent);
  }

  void onFinished(Exchange exchange) {
    exchanges.remove(exchange);
  }

  void recordResponse(Route route, long millis) {
    shutdownPolicy.recordDuration(route.kind(), millis);
    observer.recordResponse(route, millis);
  }

  void recordRejection(Rejection rejection) {
    observer.recordRejection(rejection);
  }

  void recordInterruption(Route route) {
    observer.recordInterruption(route);
  }

  CoreContext context() {
    return context;
  }

  TargetRegistry targets() {
    return targets;
  }

  ConfigurationHolder configuration() {
    return configuration;
  }

  ForwardPolicy policy() {
    return policy;
  }

  TargetPort port() {
    return port;
  }

  LoadExchange loads() {
    return loads;
  }

  RolloutControl rollouts() {
    return rollouts;
  }

  TargetSelector selector() {
    return selector;
  }

  PromptLocator prompts() {
    return prompts;
  }

  PoisonControl poison() {
    return poison;
  }

  TargetExitDetector exitDetector() {
    return exitDetector;
  }

  public TargetLimits limits() {
    return limits;
  }

  public TargetBackoffs backoffs() {
    return backoffs;
  }

  AnnouncementReceiver announcements() {
    return announcements;
  }

  /** Returns the urgency of a request among those of its service, if hosts are to regard it. */
  Urgency urgency(ConfigurationHolder.Lookup.Allowed allowed, ServiceName service) {
    return policy.has(SchedulingFeature.URGENCY_ORDER)
        ? allowed.configuration().urgency(service, allowed.route(), allowed.account())
        : Urgency.UNRANKED;
  }

  /** Returns how many requests wait for their admission. */
  public int waitingRequestCount() {
    return overload.waitingCount();
  }

  OverloadControl overload() {
    return overload;
  }

  /** Returns the speeds of targets; empty unless the feature is enabled. */
  public Optional<TargetSpeeds> speeds() {
    return speeds;
  }

  /** Returns the expected times of targets; unknown unless the feature is enabled. */
  FirstEventEstimates estimates() {
    return speeds.<FirstEventEstimates>map(known -> known).orElse(FirstEventEstimates.UNKNOWN);
  }

  public CountedRoom room() {
    return room;
  }

  RetryBudgets budgets() {
    return budgets;
  }

  public StreamRetryTokens streamRetries() {
    return streamRetries;
  }
}
