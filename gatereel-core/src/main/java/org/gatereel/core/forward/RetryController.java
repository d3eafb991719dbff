package org.gatereel.core.forward;

import org.gatereel.core.event.EventCode;
import org.gatereel.core.model.ServiceName;

/** Decides whether one request may be tried again, by its route, its answer and the budget. */
final class RetryController {
  private final Forwarder forwarder;
  private final Exchange exchange;
  private final ExchangeLog log;
  private final Route route;
  private final ServiceName service;
  private final CallerResponse reply;
  private final StreamRelay relay;
  private final long deadline;
  private final AttemptCounter attemptCounter = new AttemptCounter();

  /**
   * Makes the rule for a request.
   *
   * @param service the service that has it, whose budget bears its repeats
   * @param deadline when its time is up, in milliseconds
   */
  RetryController(
      Forwarder forwarder,
      Exchange exchange,
      ExchangeLog log,
      Route route,
      ServiceName service,
      CallerResponse reply,
      StreamRelay relay,
      long deadline) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.log = log;
    this.route = route;
    this.service = service;
    this.reply = reply;
    this.relay = relay;
    this.deadline = deadline;
  }

  AttemptCounter attemptCounter() {
    return attemptCounter;
  }

  /** Returns whether the request may run once more, so that it does not run too often. */
  boolean mayExecuteAgain() {
    boolean left = attemptCounter.executions() < route.maxAttempts();
    return route.mayRetry() && left && forwarder.context().now() < deadline;
  }

  /** Returns whether another target can go on with the answer that the caller has part of. */
  boolean isResumableStream() {
    boolean resumable = route.kind() == RouteKind.STREAM && route.resumable();
    return resumable && !reply.isCommitted() && relay.canResumeElsewhere();
  }

  /** Has the exchange go on, if it may, after an attempt that failed. */
  void retryOrFail(Attempt failed, boolean ran) {
    if (exchange.isFinished()) {
      return;
    }
    if (reply.hasBegun() && !isResumableStream()) {
      exchange.abortResponse("ANSWER_BROKEN");
    } else if (ran && !mayExecuteAgain()) {
      exchange.failRequest(Rejection.TARGET_FAILED);
    } else if (failed.mayHaveExecuted()) {
      retry();
    } else {
      exchange.startNextAttempt();
    }
  }

  /** Tries again if the service's budget has a repeat left, which may be known only later. */
  void retry() {
    forwarder.budgets().acquire(service, this::retryIfGranted);
  }

  private void retryIfGranted(boolean granted) {
    if (exchange.isFinished()) {
      return;
    }
    if (granted) {
      exchange.startNextAttempt();
      return;
    }
    log.log(EventCode.RETRY_BUDGET_SPENT, "service=" + service);
    exchange.failRequest(exchange.rejectionWhenUnserved(Rejection.OVERLOADED));
  }
}
