package org.gatereel.core.forward;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.choice.TargetSelector;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.Lender;
import org.gatereel.core.limit.Loan;
import org.gatereel.core.limit.LoanPort;
import org.gatereel.core.limit.LoanSubject;
import org.gatereel.core.limit.TargetLimits;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.overload.OverloadControl;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.rest.Rests;
import org.gatereel.core.rollout.RolloutControl;
import org.gatereel.core.statement.FactKind;
import org.gatereel.core.statement.TargetFact;
import org.gatereel.core.statement.TargetFacts;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/** Forwards requests of callers to targets; the decisions, without any input or output. */
public final class Forwarder implements Lender {
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
  private final RetryBudgets budgets;
  private final ShutdownPolicy shutdownPolicy;
  private final PromptLocator prompts;
  private final PoisonControl poison;
  private final TargetExitDetector exitDetector;
  private final TargetLimits limits;
  private final Rests backoffs;
  private final AnnouncementReceiver announcements;
  private final Set<Exchange> exchanges = new LinkedHashSet<>();
  private final Set<TargetId> probing = new HashSet<>();

  /**
   * Makes a forwarder.
   *
   * @param directory the hosts that share the limits of all
   * @param loans the way to those that lend what all hosts share
   * @param loads what hosts tell each other of their load at targets
   * @param rollouts which versions of targets requests may go to
   * @param poison which requests are held back
   */
  public Forwarder(
      CoreContext context,
      TargetRegistry targets,
      ConfigurationHolder configuration,
      ForwardPolicy policy,
      TargetPort port,
      ForwardObserver observer,
      HostDirectory directory,
      LoanPort loans,
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
    this.limits = new TargetLimits(context, facts, directory, loans);
    this.backoffs = new Rests(context, facts);
    this.announcements = new AnnouncementReceiver(context, facts, limits.book(), backoffs);
    this.port = new ObservingTargetPort(context, port, announcements);
    this.selector =
        new TargetSelector(context, targets, loads, directory, backoffs::restsElsewhere);
    this.budgets = new RetryBudgets(context, policy.retryLimit(), directory, loans);
    this.shutdownPolicy = new ShutdownPolicy(context);
    this.prompts = new PromptLocator(context, targets, this.port, backoffs::isResting);
    this.poison = poison;
    this.exitDetector =
        new TargetExitDetector(context, this.port, poison, policy.probeTimeoutMillis());
    this.overload =
        new OverloadControl(context, targets, loads, limits.book()::perSecond, backoffs::isResting);
    loads.exchangeTargetFacts(facts);
    facts.onNews(this::onTargetFact);
    poison.onHeld(this::onQuarantined);
  }

  /** A target has said something, here or to another host. */
  private void onTargetFact(TargetFact fact) {
    if (fact.kind() == FactKind.LEAVING) {
      targets.leaving(fact.target());
    }
    loads.changed();
  }

  /** Takes a whole request in; it is answered through {@code caller}, perhaps at once. */
  public Optional<Exchange> accept(ForwardRequest request, CallerPort caller) {
    ConfigurationHolder.Lookup found =
        configuration.lookUp(request.hostName(), request.path(), request.key());
    if (found instanceof ConfigurationHolder.Lookup.Allowed allowed) {
      if (!shutdownPolicy.accepts(allowed.route().kind())) {
        reject(request, caller, Rejection.STOPPING);
        return Optional.empty();
      }
      Exchange exchange = new Exchange(this, request, caller, allowed);
      exchanges.add(exchange);
      exchange.start();
      return Optional.of(exchange);
    }
    reject(request, caller, ((ConfigurationHolder.Lookup.Denied) found).refusal());
    return Optional.empty();
  }

  /** Refuses a request that this host has not taken up. */
  private void reject(ForwardRequest request, CallerPort caller, Rejection refusal) {
    caller.reject(refusal, policy.retryAfterMillis());
    context.note(
        EventCode.REQUEST_REFUSED,
        request.id(),
        "reason="
            + refusal
            + " configuration="
            + configuration.version()
            + " ageMillis="
            + configuration.ageMillis());
    observer.recordRejection(refusal);
  }

  /** Returns how many requests are not answered yet. */
  public int openExchangeCount() {
    return exchanges.size();
  }

  /**
   * Begins to stop.
   *
   * @param lastTakenAt when the last new request is taken
   * @param endAt when everything has to be over
   */
  public void beginShutdown(long lastTakenAt, long endAt) {
    shutdownPolicy.begin(lastTakenAt, endAt);
  }

  /** Returns whether this host has begun to stop. */
  boolean isStopping() {
    return shutdownPolicy.isStopping();
  }

  /** Breaks all open requests off because this host stops. */
  public void stopAll() {
    List.copyOf(exchanges).forEach(Exchange::endForShutdown);
  }

  /** Asks a target whether it works, unless it is being asked already. */
  void probe(TargetState target) {
    TargetId id = target.description().id();
    if (!probing.add(id)) {
      return;
    }
    long askedAt = context.now();
    port.probe(
        target.description(),
        policy.probeTimeoutMillis(),
        result -> {
          probing.remove(id);
          if (result.isResponse()) {
            targets.answered(target);
          } else {
            onTargetUnreachable(target, askedAt);
          }
        });
  }

  /** Moves every stream that was silent since the probe began. */
  private void onTargetUnreachable(TargetState target, long askedAt) {
    context.note(EventCode.TARGET_UNREACHABLE, target.description().id().toString(), "");
    targets.failed(target, TargetFailure.TIMEOUT);
    loads.changed();
    for (Exchange exchange : List.copyOf(exchanges)) {
      boolean concerned =
          exchange.canMove()
              && exchange.currentTarget().isPresent()
              && StallDetector.isSilentSince(exchange.attempt(), target, askedAt);
      if (concerned) {
        exchange.onTargetLost(TargetFailure.TIMEOUT);
      }
    }
  }

  /** A request is held back from now on; what of it has not shown that it runs is ended. */
  private void onQuarantined(Fingerprint request) {
    List.copyOf(exchanges).stream()
        .filter(exchange -> exchange.poison().fingerprint().equals(request))
        .forEach(Exchange::onQuarantined);
  }

  @Override
  public void lend(LoanSubject subject, int count, Consumer<Optional<Loan>> answer) {
    if (subject instanceof LoanSubject.Requests requests) {
      limits.lend(requests, count, answer);
    } else if (subject instanceof LoanSubject.Repeats repeats) {
      answer.accept(Optional.of(new Loan(issueRetries(repeats.service(), count), 0)));
    }
  }

  private int issueRetries(ServiceName service, int count) {
    int lent = budgets.issue(service, count);
    context.note(EventCode.REPEATS_LENT, service.value(), "asked=" + count + " lent=" + lent);
    return lent;
  }

  void onFinished(Exchange exchange) {
    exchanges.remove(exchange);
  }

  void recordResponse(Route route, long millis) {
    shutdownPolicy.recordDuration(route.kind(), millis);
    observer.recordResponse(route, millis);
  }

  void recordRejection(Rejection refusal) {
    observer.recordRejection(refusal);
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

  /** Returns what keeps to the limits that targets name. */
  public TargetLimits limits() {
    return limits;
  }

  /** Returns the targets that want nothing from this host for now. */
  public Rests backoffs() {
    return backoffs;
  }

  /** Returns what takes in what targets say of themselves. */
  AnnouncementReceiver announcements() {
    return announcements;
  }

  OverloadControl overload() {
    return overload;
  }

  RetryBudgets budgets() {
    return budgets;
  }
}
