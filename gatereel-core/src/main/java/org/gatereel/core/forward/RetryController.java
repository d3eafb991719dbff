package org.gatereel.core.forward;

import java.util.function.Consumer;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.scheduling.SchedulingFeature;
import org.gatereel.core.target.TargetState;

/** Decides whether one request is retried, by its route, its response and the retry budget. */
final class RetryController {
  /** Callers abandon a stream that pauses for longer than both this and that many objectives. */
  private static final long MIN_PATIENCE_MILLIS = 2_000;

  private static final long PATIENCE_GAPS = 8;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final ExchangeLog log;
  private final Route route;
  private final ServiceName service;
  private final CallerResponse callerResponse;
  private final StreamRelay relay;
  private final long deadline;
  private final AttemptCounter attemptCounter = new AttemptCounter();
  private boolean budgetSpent;
  private boolean hasUnusedRetry;

  /**
   * Creates the controller of a request.
   *
   * @param service the service whose retry budget is charged
   * @param deadline the request's deadline in milliseconds
   */
  RetryController(
      Forwarder forwarder,
      Exchange exchange,
      ExchangeLog log,
      Route route,
      ServiceName service,
      CallerResponse callerResponse,
      StreamRelay relay,
      long deadline) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.log = log;
    this.route = route;
    this.service = service;
    this.callerResponse = callerResponse;
    this.relay = relay;
    this.deadline = deadline;
  }

  AttemptCounter attemptCounter() {
    return attemptCounter;
  }

  /** Returns whether the retry budget had no retry for the request. */
  boolean isBudgetSpent() {
    return budgetSpent;
  }

  /** Returns whether the route and the deadline allow one more execution. */
  boolean mayExecuteAgain() {
    return mayExecuteAfter(executions());
  }

  private boolean mayExecuteAfter(int executions) {
    boolean executionsLeft = executions < route.maxAttempts();
    return route.mayRetry() && executionsLeft && forwarder.context().now() < deadline;
  }

  private int executions() {
    return usesAllRetries()
        ? attemptCounter.executionsAt(this::hasNotEnded)
        : attemptCounter.executions();
  }

  /** Returns whether another attempt may replace an open one whose target is silent. */
  boolean mayReplace(Attempt silent) {
    boolean counts = !usesAllRetries() || hasNotEnded(silent.target().description().id());
    return mayContinueElsewhere() && mayExecuteAfter(executions() + (counts ? 1 : 0));
  }

  private boolean mayContinueElsewhere() {
    return !callerResponse.hasBegun() || isResumableStream();
  }

  /** Returns whether another target can resume the stream that the caller has part of. */
  boolean isResumableStream() {
    boolean resumable = route.kind() == RouteKind.STREAM && route.resumable();
    return resumable && !callerResponse.isCommitted() && relay.canResumeElsewhere();
  }

  /** Retries after a failed attempt if allowed, otherwise ends the request. */
  void retryOrFail(Attempt failed, boolean mayHaveExecuted) {
    if (exchange.isFinished()) {
      return;
    }
    if (!mayContinueElsewhere()) {
      exchange.abortResponse("ANSWER_BROKEN");
    } else if (mayHaveExecuted && !mayExecuteAgain()) {
      exchange.onNoNextAttempt(Rejection.TARGET_FAILED);
    } else if (failed.mayHaveExecuted()) {
      retry();
    } else if (!exchange.replacement().isInProgress()) {
      exchange.startNextAttempt();
    }
  }

  /**
   * Starts another attempt if the service's retry budget allows it, possibly after a request to
   * another host. If a replacement of the failed attempt is being searched for, that goes on.
   */
  void retry() {
    if (!exchange.replacement().isInProgress()) {
      acquireRetry();
    }
  }

  /** Starts another attempt once the retry budget allows it. */
  void acquireRetry() {
    if (hasUnusedRetry) {
      exchange.startNextAttempt();
      return;
    }
    Replacement replacement = exchange.replacement();
    int round = replacement.round();
    Consumer<Boolean> retry = exchange.steps().callback(granted -> onRetryResult(round, granted));
    if (usesAllRetries()) {
      forwarder
          .streamRetries()
          .acquire(service, waitUntil(), () -> replacement.isInRound(round), retry);
    } else {
      forwarder.budgets().acquire(service, retry);
    }
  }

  /** Records that the request is sent, which uses up the retry that was granted. */
  void recordSent() {
    hasUnusedRetry = false;
  }

  /** Returns whether the request may use the retries of all hosts. */
  private boolean usesAllRetries() {
    return forwarder.policy().has(SchedulingFeature.STREAM_RETRIES)
        && route.kind() == RouteKind.STREAM
        && route.resumable();
  }

  /** Returns whether a target is listed, and no later one at its address. */
  private boolean hasNotEnded(TargetId target) {
    return forwarder
        .targets()
        .find(target)
        .map(TargetState::description)
        .flatMap(listed -> forwarder.targets().findByAddress(service, listed.address()))
        .map(current -> current.description().id().equals(target))
        .orElse(forwarder.targets().find(target).isPresent());
  }

  /** Returns until when the caller of a stream that has stopped waits for it to go on. */
  long waitUntil() {
    long patienceMillis = Math.max(MIN_PATIENCE_MILLIS, PATIENCE_GAPS * route.gapObjectiveMillis());
    return Math.min(deadline, forwarder.context().now() + patienceMillis);
  }

  private void onRetryResult(int round, boolean granted) {
    hasUnusedRetry |= granted;
    if (!exchange.replacement().isInRound(round)) {
      return;
    }
    if (granted) {
      exchange.startNextAttempt();
      return;
    }
    if (!budgetSpent) {
      budgetSpent = true;
      log.log(EventCode.RETRY_BUDGET_SPENT, "service=" + service);
    }
    exchange.onNoNextAttempt(exchange.rejectionWhenUnserved(Rejection.OVERLOADED));
  }
}
