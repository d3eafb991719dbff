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
  private final ConfigurationKeeper configuration;
  private final ForwardPolicy policy;
  private final TargetPort port;
  private final ForwardObserver observer;
  private final LoadExchange loads;
  private final RolloutControl rollouts;
  private final TargetSelector selector;
  private final OverloadControl overload;
  private final RetryBudgets budgets;
  private final StopPlan stopPlan;
  private final PromptLocator prompts;
  private final PoisonControl poison;
  private final TargetEnds targetEnds;
  private final TargetLimits limits;
  private final Rests rests;
  private final StatementIntake statements;
  private final Set<Exchange> open = new LinkedHashSet<>();
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
      ConfigurationKeeper configuration,
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
    this.rests = new Rests(context, facts);
    this.statements = new StatementIntake(context, facts, limits.book(), rests);
    this.port = new ListeningPort(context, port, statements);
    this.selector = new TargetSelector(context, targets, loads, directory, rests::restsElsewhere);
    this.budgets = new RetryBudgets(context, policy.retryLimit(), directory, loans);
    this.stopPlan = new StopPlan(context);
    this.prompts = new PromptLocator(context, targets, this.port, rests::isResting);
    this.poison = poison;
    this.targetEnds = new TargetEnds(context, this.port, poison, policy.unreachableMillis());
    this.overload =
        new OverloadControl(context, targets, loads, limits.book()::perSecond, rests::isResting);
    loads.exchangeTargetFacts(facts);
    facts.onNews(this::hear);
    poison.onHeld(this::hold);
  }

  /** A target has said something, here or to another host. */
  private void hear(TargetFact fact) {
    if (fact.kind() == FactKind.LEAVING) {
      targets.leaving(fact.target());
    }
    loads.changed();
  }

  /** Takes a whole request in; it is answered through {@code caller}, perhaps at once. */
  public Optional<Exchange> accept(ForwardRequest request, CallerPort caller) {
    ConfigurationKeeper.Lookup found =
        configuration.find(request.hostName(), request.path(), request.key());
    if (found instanceof ConfigurationKeeper.Lookup.Allowed allowed) {
      if (!stopPlan.takes(allowed.route().kind())) {
        refuse(request, caller, Refusal.STOPPING);
        return Optional.empty();
      }
      Exchange exchange = new Exchange(this, request, caller, allowed);
      open.add(exchange);
      exchange.start();
      return Optional.of(exchange);
    }
    refuse(request, caller, ((ConfigurationKeeper.Lookup.Denied) found).refusal());
    return Optional.empty();
  }

  /** Refuses a request that this host has not taken up. */
  private void refuse(ForwardRequest request, CallerPort caller, Refusal refusal) {
    caller.refuse(refusal, policy.retryAfterMillis());
    context.logEvent(
        EventCode.REQUEST_REFUSED,
        request.id(),
        "reason="
            + refusal
            + " configuration="
            + configuration.version()
            + " ageMillis="
            + configuration.ageMillis());
    observer.refused(refusal);
  }

  /** Returns how many requests are not answered yet. */
  public int openExchanges() {
    return open.size();
  }

  /**
   * Begins to stop.
   *
   * @param lastTakenAt when the last new request is taken
   * @param endAt when everything has to be over
   */
  public void beginStop(long lastTakenAt, long endAt) {
    stopPlan.begin(lastTakenAt, endAt);
  }

  /** Returns whether this host has begun to stop. */
  boolean isStopping() {
    return stopPlan.isStopping();
  }

  /** Breaks all open requests off because this host stops. */
  public void stopAll() {
    List.copyOf(open).forEach(Exchange::stop);
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
        policy.unreachableMillis(),
        result -> {
          probing.remove(id);
          if (result.isAnswer()) {
            targets.answered(target);
          } else {
            lost(target, askedAt);
          }
        });
  }

  /** Moves every stream that was silent since the probe began. */
  private void lost(TargetState target, long askedAt) {
    context.logEvent(EventCode.TARGET_UNREACHABLE, target.description().id().toString(), "");
    targets.failed(target, TargetFailure.TIMEOUT);
    loads.changed();
    for (Exchange exchange : List.copyOf(open)) {
      boolean concerned =
          exchange.mayMove()
              && exchange.currentTarget().isPresent()
              && SilenceWatch.isSilent(exchange.attempt(), target, askedAt);
      if (concerned) {
        exchange.targetLost(TargetFailure.TIMEOUT);
      }
    }
  }

  /** A request is held back from now on; what of it has not shown that it runs is ended. */
  private void hold(Fingerprint request) {
    List.copyOf(open).stream()
        .filter(exchange -> exchange.poison().fingerprint().equals(request))
        .forEach(Exchange::held);
  }

  @Override
  public void lend(LoanSubject subject, int count, Consumer<Optional<Loan>> answer) {
    if (subject instanceof LoanSubject.Requests requests) {
      limits.lend(requests, count, answer);
    } else if (subject instanceof LoanSubject.Repeats repeats) {
      answer.accept(Optional.of(new Loan(lendRepeats(repeats.service(), count), 0)));
    }
  }

  private int lendRepeats(ServiceName service, int count) {
    int lent = budgets.lend(service, count);
    context.logEvent(EventCode.REPEATS_LENT, service.value(), "asked=" + count + " lent=" + lent);
    return lent;
  }

  void over(Exchange exchange) {
    open.remove(exchange);
  }

  void answered(Route route, long millis) {
    stopPlan.lasted(route.kind(), millis);
    observer.answered(route, millis);
  }

  void refused(Refusal refusal) {
    observer.refused(refusal);
  }

  void interrupted(Route route) {
    observer.interrupted(route);
  }

  CoreContext context() {
    return context;
  }

  TargetRegistry targets() {
    return targets;
  }

  ConfigurationKeeper configuration() {
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

  TargetEnds targetEnds() {
    return targetEnds;
  }

  /** Returns what keeps to the limits that targets name. */
  public TargetLimits limits() {
    return limits;
  }

  /** Returns the targets that want nothing from this host for now. */
  public Rests rests() {
    return rests;
  }

  /** Returns what takes in what targets say of themselves. */
  StatementIntake statements() {
    return statements;
  }

  OverloadControl overload() {
    return overload;
  }

  RetryBudgets budgets() {
    return budgets;
  }
}
