package org.gatereel.core.forward;

import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.model.ServiceName;

/** Decides whether one request is retried, by its route, its response and the retry budget. */
final class RetryController {
  private final Forwarder forwarder;
  private final Exchange exchange;
  private final ExchangeLog log;
  private final Route route;
  private final ServiceName service;
  private final CallerResponse callerResponse;
  private final StreamRelay relay;
  private final long deadline;
  private final AttemptCounter attemptCounter = new AttemptCounter();

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

  /** Returns whether the route and the deadline allow one more execution. */
  boolean mayExecuteAgain() {
    boolean executionsLeft = attemptCounter.executions() < route.maxAttempts();
    return route.mayRetry() && executionsLeft && forwarder.context().now() < deadline;
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
    if (callerResponse.hasBegun() && !isResumableStream()) {
      exchange.abortResponse("ANSWER_BROKEN");
    } else if (mayHaveExecuted && !mayExecuteAgain()) {
      exchange.failRequest(Rejection.TARGET_FAILED);
    } else if (failed.mayHaveExecuted()) {
      retry();
    } else {
      exchange.startNextAttempt();
    }
  }

  /**
   * Starts another attempt if the service's retry budget allows it, possibly after a request to
   * another host.
   */
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
