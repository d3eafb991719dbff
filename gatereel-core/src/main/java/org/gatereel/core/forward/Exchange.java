package org.gatereel.core.forward;

import java.util.Optional;
import java.util.OptionalInt;
import org.gatereel.core.choice.TargetChoice;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.configuration.ServiceConfiguration;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.overload.ArrivingRequest;
import org.gatereel.core.poison.RequestFeatures;
import org.gatereel.core.scheduling.Urgency;
import org.gatereel.core.target.TargetState;

/**
 * One request from its admission to the end of its response.
 *
 * <p>At most one attempt is open at a time; its connection is closed before the next attempt
 * starts. {@link RetryController} decides whether a request is retried, and {@link Replacement}
 * searches for another target while an attempt is silent.
 */
public final class Exchange implements AcceptedRequest {
  private final Forwarder forwarder;
  private final CoreContext context;
  private final ForwardRequest request;
  private final CallerResponse callerResponse;
  private final RequestSteps steps;
  private final Route route;
  private final ServiceName service;
  private final Optional<AccountId> account;
  private final long startedAt;
  private final long deadline;
  private final TimerQueue.Timer deadlineTimer;
  private final TargetSearch search;
  private final StallDetector stallDetector;
  private final AdmissionWait admissionWait;
  private final Placement placement;
  private final Replacement replacement;
  private final ExchangeLog log;
  private final ResponseEndCheck endCheck;
  private final StreamRelay relay;
  private final VersionObserver versions;
  private final RetryController retries;
  private final AttemptCounter attemptCounter;
  private final PoisonDetector poison;
  private Attempt attempt;
  private boolean mayHaveExecuted;
  private boolean awaitsConfirmation;
  private boolean finished;

  Exchange(
      Forwarder forwarder,
      ForwardRequest request,
      CallerResponse callerResponse,
      RequestSteps steps,
      ConfigurationHolder.Lookup.Allowed allowed,
      long receivedAt) {
    this.forwarder = forwarder;
    this.context = forwarder.context();
    this.request = request;
    this.callerResponse = callerResponse;
    this.steps = steps;
    this.route = allowed.route();
    this.account = allowed.account();
    this.poison =
        new PoisonDetector(
            forwarder,
            RequestFeatures.of(
                account, request::contentDigest, request.prompt(), request.sharedPromptParts()));
    this.service = route.chooseService(context.random().nextDouble());
    this.search =
        new TargetSearch(
            forwarder,
            request,
            route,
            service,
            allowed.configuration().service(service).flatMap(ServiceConfiguration::engine));
    this.startedAt = receivedAt;
    this.deadline = startedAt + Forwarder.deadlineMillis(route, request);
    this.relay = new StreamRelay(this, context, request, callerResponse, route);
    this.versions = new VersionObserver(forwarder.rollouts(), service, route);
    this.log = new ExchangeLog(forwarder, this, request);
    this.retries =
        new RetryController(forwarder, this, log, route, service, callerResponse, relay, deadline);
    this.attemptCounter = retries.attemptCounter();
    this.endCheck = new ResponseEndCheck(forwarder, this, relay, log);
    this.placement = new Placement(forwarder, this, search, retries, route, log, deadline);
    this.replacement = new Replacement(this, retries, search, placement, log);
    this.stallDetector = new StallDetector(forwarder, this, route);
    this.admissionWait =
        new AdmissionWait(
            forwarder,
            this,
            log,
            new ArrivingRequest(
                service,
                route.priority(),
                account,
                route.objectiveMillis(),
                deadline,
                startedAt,
                forwarder.urgency(allowed, service),
                search.size()));
    search.setReservedTargets(admissionWait::reservedTargets);
    this.deadlineTimer = steps.scheduleAt(deadline, this::onDeadline);
    steps.setEnding(this::endAfterFailure);
  }

  /** Returns what runs the timers and callbacks of the request. */
  RequestSteps steps() {
    return steps;
  }

  /** Rejects a quarantined request; queues any other for admission. */
  void start() {
    if (poison.isQuarantined()) {
      reject(Rejection.HELD_BACK, forwarder.policy().retryAfterMillis(), poison.reason());
      return;
    }
    forwarder.budgets().recordRequest(service);
    admissionWait.begin(relay.lastEventId().isPresent());
  }

  /** Called when admission control lets the request be sent. */
  void onAdmitted() {
    placement.locatePrompt(this::startNextAttempt);
  }

  @Override
  public void onCallerDisconnected() {
    steps.run(this::endForCaller);
  }

  private void endForCaller() {
    if (finished) {
      return;
    }
    log.log(EventCode.CALLER_GONE, "");
    closeAttempt();
    finish();
  }

  /** Ends the request because this host is shutting down. */
  void endForShutdown() {
    if (finished) {
      return;
    }
    if (callerResponse.hasBegun()) {
      abortResponse(Rejection.STOPPING.name());
    } else {
      failRequest(mayHaveExecuted || isExecuting() ? Rejection.TARGET_FAILED : Rejection.STOPPING);
    }
  }

  /** Ends the search for a target because this host is shutting down. */
  void onSearchStopped() {
    if (currentTarget().isPresent()) {
      replacement.callOff();
    } else if (!awaitConfirmation()) {
      endForShutdown();
    }
  }

  /** Returns whether the target of the open attempt may be executing the request. */
  boolean isExecuting() {
    return attempt != null && !attempt.isClosed() && attempt.mayHaveExecuted();
  }

  /** Returns the target of the open attempt. */
  Optional<TargetState> currentTarget() {
    return attempt == null || attempt.isClosed() ? Optional.empty() : Optional.of(attempt.target());
  }

  boolean isFinished() {
    return finished;
  }

  /**
   * Returns {@link Rejection#TARGET_FAILED} if the request may have executed, otherwise {@code
   * ifNotExecuted}.
   */
  Rejection rejectionWhenUnserved(Rejection ifNotExecuted) {
    return mayHaveExecuted ? Rejection.TARGET_FAILED : ifNotExecuted;
  }

  long now() {
    return context.now();
  }

  Attempt attempt() {
    return attempt;
  }

  Replacement replacement() {
    return replacement;
  }

  PoisonDetector poison() {
    return poison;
  }

  /** Returns whether the request may be moved to another target after it may have executed. */
  boolean canMove() {
    return route.mayRetry();
  }

  /** Fails the open attempt because its target is known to have ended. */
  void onTargetLost(TargetFailure failure) {
    if (!finished && attempt != null && !attempt.isClosed()) {
      log.log(EventCode.ATTEMPT_SUSPECTED, "target=" + attempt.target().description().id());
      onAttemptFailed(attempt, failure);
    }
  }

  /**
   * Replaces the open attempt, whose target is silent, if another target can receive the request.
   *
   * @param failure the failure to record if the attempt is replaced
   */
  void onTargetSilent(TargetFailure failure) {
    if (!finished && currentTarget().isPresent()) {
      replacement.begin(attempt, failure);
    }
  }

  /** Retries the request beside the open attempt, whose response its target does not confirm. */
  void onTargetUnconfirmed(TargetFailure failure) {
    if (retries.mayReplace(attempt)) {
      search.copies().onAttemptBroken(attempt);
      recordFailedAttempt(attempt, failure);
      retryOrFail(attempt, true);
    }
  }

  /** Ends the request because no other attempt is possible, unless one is still open. */
  void onNoNextAttempt(Rejection rejection, long retryAfterMillis, String inputs) {
    if (currentTarget().isPresent()) {
      replacement.callOff();
    } else if (!awaitConfirmation()) {
      failRequest(rejection, retryAfterMillis, inputs);
    }
  }

  /**
   * Waits until the target of a response in doubt confirms it, has ended, or the deadline is over;
   * returns false if no response is in doubt.
   */
  boolean awaitConfirmation() {
    if (!endCheck.isInDoubt()) {
      return false;
    }
    awaitsConfirmation = true;
    log.log(EventCode.CONFIRMATION_AWAITED, "");
    return true;
  }

  /** Returns whether an attempt's response, once confirmed, would be the whole response. */
  boolean canCompleteWith(Attempt from) {
    if (from == attempt && !from.isClosed()) {
      return true;
    }
    return from.isEventStream() ? relay.isAtEndOf(from) : !callerResponse.hasBegun();
  }

  void onNoNextAttempt(Rejection rejection) {
    onNoNextAttempt(rejection, forwarder.policy().retryAfterMillis(), "");
  }

  /** Ends a request that has been quarantined, unless its stream is already being delivered. */
  void onQuarantined() {
    boolean isDelivering = attempt != null && !attempt.isClosed() && attempt.hasForwardedEvents();
    if (!finished && !isDelivering && !awaitConfirmationAlone()) {
      failRequest(mayHaveExecuted || isExecuting() ? Rejection.TARGET_FAILED : Rejection.HELD_BACK);
    }
  }

  private boolean awaitConfirmationAlone() {
    boolean awaits = awaitConfirmation();
    if (awaits) {
      closeAttempt();
      replacement.callOff();
    }
    return awaits;
  }

  void startNextAttempt() {
    if (poison.isQuarantined()) {
      onNoNextAttempt(rejectionWhenUnserved(Rejection.HELD_BACK));
      return;
    }
    if (attemptCounter.isExhausted()) {
      onNoNextAttempt(rejectionWhenUnserved(Rejection.OVERLOADED));
      return;
    }
    placement.placeNextAttempt();
  }

  /** Returns whether the caller has received part of the stream. */
  boolean hasPartialResponse() {
    return relay.lastEventId().isPresent();
  }

  /** Returns whether the target of the open attempt may still be sent the request. */
  boolean mayStillReceive(TargetState target) {
    return search.mayStillReceive(target);
  }

  /**
   * Sends the request to a target.
   *
   * @param copyName the name of the memory copy at that target to continue from
   */
  void send(TargetChoice choice, Optional<String> copyName) {
    TargetState target = choice.target();
    replacement.onSend();
    retries.recordSent();
    attemptCounter.recordStart();
    attempt = new Attempt(this, target, copyName.isPresent(), context.now());
    attempt.setTimer(forwarder.speeds().map(speeds -> speeds.begin(target, tokensToRead(choice))));
    forwarder.targets().recordOpened(target);
    versions.recordSent(attempt);
    Optional<Address> copyTo = search.beginAttempt(target);
    if (route.kind() == RouteKind.STREAM && !search.hasPromptCached(target)) {
      attempt.beginPrefill();
    }
    Dispatch dispatch =
        new Dispatch(
            request,
            target.description(),
            account,
            Math.max(1, deadline - context.now()),
            relay.lastEventId(),
            copyTo,
            copyName,
            urgency());
    log.logForwarded(route, dispatch, choice, attemptCounter.started());
    forwarder.loads().scheduleReports();
    attempt.setCall(forwarder.port().send(dispatch, attempt));
    stallDetector.watch(attempt);
  }

  /** Returns how many tokens of the prompt the target has to read for the open attempt. */
  private long tokensToRead(TargetChoice choice) {
    boolean reads = !attempt.isContinuation() && !search.hasPromptCached(choice.target());
    return reads ? request.promptTokens() : 0;
  }

  /** Returns the urgency for the engine; a stream that its caller has a part of goes first. */
  private OptionalInt urgency() {
    if (callerResponse.hasBegun()) {
      return OptionalInt.of(0);
    }
    Urgency urgency = admissionWait.urgency();
    return urgency.isRanked() ? OptionalInt.of(urgency.engineUrgency()) : OptionalInt.empty();
  }

  void onResponseHead(Attempt from) {
    ResponseHead head = from.head();
    from.recordHead(context.now());
    from.recordDataReceived(context.now());
    onProgress(from);
    forwarder.announcements().receive(from);
    if (head.declaresNotExecuted()) {
      onAttemptFailed(from, head.failure());
      return;
    }
    if (!head.isForwardable() || !callerResponse.canContinueWith(from)) {
      onAttemptFailed(from, TargetFailure.INVALID_RESPONSE);
    }
  }

  /** Handles a sign that the target works on the request, which other bytes are not. */
  void onProgress(Attempt from) {
    from.recordProgress(context.now());
    replacement.callOff();
  }

  void onBody(Attempt from, byte[] bytes) {
    from.recordDataReceived(context.now());
    if (from.isEventStream()) {
      if (relay.forward(from, bytes)) {
        versions.recordEvent(from, context.now());
        from.timeEvents(context.now());
        poison.recordProgress(from);
      } else {
        onAttemptFailed(from, TargetFailure.INVALID_RESPONSE);
      }
      return;
    }
    onProgress(from);
    from.body().writeBytes(bytes);
    if (from.body().size() > forwarder.policy().maxBufferedBytes()) {
      onBufferExceeded(from);
    }
  }

  /**
   * Retries after an error that is too long to be held; forwards any other response as it comes.
   */
  private void onBufferExceeded(Attempt from) {
    TargetResponse part = from.takeResponse();
    if (part.isError() && !callerResponse.hasBegun() && retries.mayExecuteAgain()) {
      onAttemptFailed(from, TargetFailure.INVALID_RESPONSE);
    } else {
      // Once part of the body is sent, no other attempt can follow.
      callerResponse.commit(part);
    }
  }

  /** Handles the first event of an attempt that the caller has not received before. */
  void onFirstEvent(Attempt from) {
    versions.recordFirstEvent(from, context.now());
    stallDetector.watch(from);
    forwarder.loads().scheduleReports();
    if (!from.isContinuation()) {
      forwarder.overload().recordServiceTime(service, context.now() - from.startedAt());
      search.recordFirstEvent(from);
    }
    log.log(EventCode.FIRST_TOKEN, "target=" + from.target().description().id());
  }

  void onResponseEnd(Attempt from, ResponseEnd end) {
    replacement.callOff();
    endCheck.onResponseEnd(from, end);
  }

  /** Completes the request with a response, unless it is an error and another may follow. */
  void onResponseConfirmed(Attempt from) {
    boolean isReplaced = from != attempt || from.isClosed();
    if (!isReplaced || awaitsConfirmation) {
      awaitsConfirmation = false;
      onCompleteResponse(from);
    } else if (from.isError()) {
      callerResponse.holdError(from.takeResponse());
    } else {
      closeAttempt();
      replacement.callOff();
      onCompleteResponse(from);
    }
  }

  /** Handles a response that is not whole; retries the request unless that has been done. */
  void onResponseBroken(Attempt from, TargetFailure failure) {
    if (from == attempt && !from.isClosed()) {
      onAttemptFailed(from, failure);
    } else if (awaitsConfirmation) {
      retryOrFail(from, true);
    }
  }

  /**
   * Handles a complete response: an error is held and the request retried if allowed; otherwise the
   * response is delivered.
   */
  void onCompleteResponse(Attempt from) {
    mayHaveExecuted = true;
    releaseAttempt(from);
    attemptCounter.recordExecution(from.target().description().id());
    if (route.kind() != RouteKind.STREAM) {
      forwarder.overload().recordServiceTime(service, from.endedAt() - from.startedAt());
    } else if (!from.isContinuation() && attemptCounter.started() == 1) {
      admissionWait.recordStreamTime(from.endedAt() - from.startedAt());
    }
    TargetResponse response = from.takeResponse();
    if (route.kind() != RouteKind.STREAM && !response.isError()) {
      from.timeCall();
    }
    search.recordResponse(from, response);
    versions.recordCompleteResponse(from, response);
    if (response.isError()) {
      poison.recordErrorResponse();
    } else {
      poison.recordSuccess();
    }
    if (response.isError() && !callerResponse.hasBegun() && retries.mayExecuteAgain()) {
      callerResponse.holdError(response);
      log.log(
          EventCode.CALL_RETRIED,
          "target=" + from.target().description().id() + " status=" + response.head().status());
      retries.retry();
      return;
    }
    respond(response);
  }

  private void respond(TargetResponse response) {
    callerResponse.finish(response);
    log.log(EventCode.REQUEST_ANSWERED, "status=" + response.head().status());
    forwarder.recordResponse(route, context.now() - startedAt);
    finish();
  }

  void onAttemptFailed(Attempt from, TargetFailure failure) {
    boolean possiblyExecuted = from.mayHaveExecuted() && !failure.provesNotRun();
    if (possiblyExecuted) {
      search.copies().onAttemptBroken(from);
    }
    endCheck.settle(from);
    recordFailedAttempt(from, failure);
    // Targets that have nothing to add to a stream cannot confirm its end either.
    if (failure != TargetFailure.NO_FURTHER_EVENT || !awaitConfirmation()) {
      retryOrFail(from, possiblyExecuted);
    }
  }

  private void retryOrFail(Attempt failed, boolean possiblyExecuted) {
    awaitsConfirmation = false;
    poison.beforeNextAttempt(
        failed, () -> steps.run(() -> retries.retryOrFail(failed, possiblyExecuted)));
  }

  /** Closes a failed attempt and records its failure; starts no other one. */
  void recordFailedAttempt(Attempt from, TargetFailure failure) {
    boolean possiblyExecuted = from.mayHaveExecuted() && !failure.provesNotRun();
    mayHaveExecuted |= possiblyExecuted;
    releaseAttempt(from);
    from.cancel();
    log.logAttemptFailed(from, failure, possiblyExecuted);
    if (failure.isUnsent()) {
      attemptCounter.recordUnreachable();
    }
    if (possiblyExecuted) {
      attemptCounter.recordExecution(from.target().description().id());
    }
    search.recordFailure(from, failure);
    poison.recordFailure(from, failure, possiblyExecuted);
    versions.recordFailure(from, failure, context.now());
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    boolean possiblyExecuted = mayHaveExecuted || isExecuting();
    failRequest(possiblyExecuted ? Rejection.TIMED_OUT : Rejection.NOT_STARTED_IN_TIME);
  }

  /**
   * Ends the request without success: aborts a started response, else delivers the held error, else
   * rejects.
   */
  void failRequest(Rejection rejection) {
    failRequest(rejection, forwarder.policy().retryAfterMillis(), "");
  }

  void failRequest(Rejection rejection, long retryAfterMillis, String inputs) {
    closeAttempt();
    if (callerResponse.hasBegun()) {
      abortResponse(rejection.name());
    } else {
      callerResponse
          .heldError()
          .ifPresentOrElse(this::respond, () -> reject(rejection, retryAfterMillis, inputs));
    }
  }

  void reject(Rejection rejection, long retryAfterMillis, String inputs) {
    callerResponse.reject(rejection, rejection.retryAfterMillis(retryAfterMillis));
    String separator = inputs.isEmpty() ? "" : " ";
    log.log(EventCode.REQUEST_REFUSED, "reason=" + rejection + separator + inputs);
    forwarder.recordRejection(rejection);
    finish();
  }

  /** Aborts a response that has begun; rejects the request if nothing of it was sent yet. */
  void abortResponse(String reason) {
    closeAttempt();
    if (!callerResponse.isSent()) {
      reject(Rejection.TARGET_FAILED, forwarder.policy().retryAfterMillis(), "cause=" + reason);
      return;
    }
    callerResponse.abort();
    log.logInterrupted(reason, retries, search.copies());
    forwarder.recordInterruption(route);
    finish();
  }

  /**
   * Ends the request after a step threw an exception. Each part is attempted, since the exchange
   * may be inconsistent; the response comes first.
   */
  private void endAfterFailure() {
    finished = true;
    steps.tryRun(this::respondToFailure);
    steps.tryRun(this::cancelAttempt);
    steps.tryRun(this::closeAttempt);
    steps.tryRun(this::finish);
  }

  private void respondToFailure() {
    boolean possiblyExecuted = mayHaveExecuted || (attempt != null && attempt.mayHaveExecuted());
    Rejection rejection =
        possiblyExecuted ? Rejection.HOST_FAILED : Rejection.HOST_FAILED_BEFORE_SENDING;
    boolean isInterruption = callerResponse.isSent() && !callerResponse.hasEnded();
    if (callerResponse.rejectOrAbort(rejection, forwarder.policy().retryAfterMillis())) {
      forwarder.recordRejection(rejection);
      log.log(EventCode.REQUEST_REFUSED, "reason=" + rejection);
    } else if (isInterruption) {
      forwarder.recordInterruption(route);
      log.logInterrupted(rejection.name(), retries, search.copies());
    }
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
    }
  }

  private void closeAttempt() {
    if (attempt != null && !attempt.isClosed()) {
      versions.recordAbandoned(attempt, context.now());
      releaseAttempt(attempt);
      attempt.cancel();
    }
  }

  /** Closes an attempt and releases what it holds; does nothing when repeated. */
  private void releaseAttempt(Attempt closing) {
    if (!closing.close()) {
      return;
    }
    stallDetector.stop();
    search.endAttempt(closing);
    forwarder.targets().recordClosed(closing.target());
    forwarder.loads().scheduleReports();
  }

  private void finish() {
    finished = true;
    forwarder.onFinished(this);
    deadlineTimer.cancel();
    admissionWait.end();
    placement.end();
    stallDetector.stop();
  }

  /** Returns the request's progress as {@code key=value} pairs for the log. */
  String progress() {
    return ExchangeLog.progress(
        attemptCounter.started(),
        relay.lastEventId(),
        context.now() - startedAt,
        deadline - context.now());
  }
}
