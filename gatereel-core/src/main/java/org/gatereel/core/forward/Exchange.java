package org.gatereel.core.forward;

import java.util.Optional;
import org.gatereel.core.choice.TargetChoice;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.overload.Arrival;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.target.TargetState;

/**
 * One request from its admission to its final answer.
 *
 * <p>At most one attempt is open at a time; before the next one starts, the connection of the last
 * one is closed. Whether a request may be tried again is decided here and nowhere else.
 */
public final class Exchange {
  private final Forwarder forwarder;
  private final CoreContext context;
  private final ForwardRequest request;
  private final CallerResponse callerResponse;
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
  private final ExchangeLog log;
  private final ResponseEndCheck endCheck;
  private final StreamRelay relay;
  private final VersionObserver versions;
  private final RetryController retries;
  private final AttemptCounter attemptCounter;
  private final PoisonDetector poison;
  private Attempt attempt;
  private boolean mayHaveExecuted;
  private boolean finished;

  Exchange(
      Forwarder forwarder,
      ForwardRequest request,
      CallerPort caller,
      ConfigurationHolder.Lookup.Allowed allowed) {
    this.forwarder = forwarder;
    this.context = forwarder.context();
    this.request = request;
    this.callerResponse = new CallerResponse(caller);
    this.route = allowed.route();
    this.account = allowed.account();
    this.poison =
        new PoisonDetector(forwarder, () -> Fingerprint.of(account, request.contentDigest()));
    this.service = route.chooseService(context.random().nextDouble());
    this.search =
        new TargetSearch(
            forwarder,
            request,
            route,
            service,
            allowed.configuration().service(service).flatMap(ServiceConfiguration::engine));
    this.startedAt = context.now();
    this.deadline =
        startedAt
            + Math.min(route.timeoutMillis(), request.remainingMillis().orElse(Long.MAX_VALUE));
    this.relay = new StreamRelay(this, context, request, callerResponse, route);
    this.versions = new VersionObserver(forwarder.rollouts(), service, route);
    this.log = new ExchangeLog(forwarder, this, request);
    this.retries =
        new RetryController(forwarder, this, log, route, service, callerResponse, relay, deadline);
    this.attemptCounter = retries.attemptCounter();
    this.endCheck = new ResponseEndCheck(forwarder, this, relay, log);
    this.placement = new Placement(forwarder, this, search, retries, route, log, deadline);
    this.deadlineTimer = context.timers().add(deadline, this::onDeadline);
    this.stallDetector = new StallDetector(forwarder, this, route);
    this.admissionWait =
        new AdmissionWait(
            forwarder,
            this,
            log,
            new Arrival(service, route.priority(), account, route.objectiveMillis(), deadline));
  }

  /** Begins to look for a target. */
  void start() {
    if (poison.isQuarantined()) {
      reject(Rejection.HELD_BACK, forwarder.policy().retryAfterMillis(), poison.reason());
      return;
    }
    forwarder.budgets().recordRequest(service);
    admissionWait.begin(relay.lastEventId().isPresent());
  }

  /** The request has its turn. */
  void onAdmitted() {
    placement.locatePrompt(this::startNextAttempt);
  }

  /** The caller closed its connection; nothing more is sent. */
  public void onCallerDisconnected() {
    if (finished) {
      return;
    }
    log.log(EventCode.CALLER_GONE, "");
    closeAttempt();
    finish();
  }

  /** Breaks the request off because this host stops. */
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

  private boolean isExecuting() {
    return attempt != null && !attempt.isClosed() && attempt.mayHaveExecuted();
  }

  /** Returns the target that has the request now. */
  Optional<TargetState> currentTarget() {
    return attempt == null || attempt.isClosed() ? Optional.empty() : Optional.of(attempt.target());
  }

  boolean isFinished() {
    return finished;
  }

  /** Returns the refusal that is true of a request that no target can be tried for any more. */
  Rejection rejectionWhenUnserved(Rejection ifNotRun) {
    return mayHaveExecuted ? Rejection.TARGET_FAILED : ifNotRun;
  }

  Attempt attempt() {
    return attempt;
  }

  /** Returns what watches whether targets end under this request. */
  PoisonDetector poison() {
    return poison;
  }

  /** Returns whether the target may be left for another one without breaking a promise. */
  boolean canMove() {
    return route.mayRetry();
  }

  /** The target that has the request does not work any more. */
  void onTargetLost(TargetFailure failure) {
    if (!finished && attempt != null && !attempt.isClosed()) {
      log.log(EventCode.ATTEMPT_SUSPECTED, "target=" + attempt.target().description().id());
      onAttemptFailed(attempt, failure);
    }
  }

  /** The request is held back from now on. */
  void onQuarantined() {
    boolean runs = attempt != null && !attempt.isClosed() && attempt.hasForwardedEvents();
    if (!finished && !runs) {
      failRequest(mayHaveExecuted || isExecuting() ? Rejection.TARGET_FAILED : Rejection.HELD_BACK);
    }
  }

  void startNextAttempt() {
    if (poison.isQuarantined()) {
      failRequest(rejectionWhenUnserved(Rejection.HELD_BACK));
      return;
    }
    if (attemptCounter.isExhausted()) {
      failRequest(rejectionWhenUnserved(Rejection.OVERLOADED));
      return;
    }
    placement.placeNextAttempt();
  }

  /** Returns whether the caller has part of the answer. */
  boolean hasPartialResponse() {
    return relay.lastEventId().isPresent();
  }

  /** Returns whether the target of the present attempt may still be sent the request. */
  boolean mayStillReceive(TargetState target) {
    return search.mayStillReceive(target);
  }

  /**
   * Sends the request to a target.
   *
   * @param from the name of the copy there that the run goes on from
   */
  void send(TargetChoice choice, Optional<String> from) {
    TargetState target = choice.target();
    attemptCounter.recordStart();
    attempt = new Attempt(this, target, from.isPresent(), context.now());
    forwarder.targets().opened(target);
    versions.recordSent(attempt);
    if (route.kind() == RouteKind.STREAM && !search.hasPromptCached(target)) {
      attempt.beginPrefill();
    }
    Optional<Address> copyTo = search.beginAttempt(target);
    Dispatch dispatch =
        new Dispatch(
            request,
            target.description(),
            account,
            Math.max(1, deadline - context.now()),
            relay.lastEventId(),
            copyTo,
            from,
            callerResponse.hasBegun());
    log.logForwarded(route, dispatch, choice, attemptCounter.started());
    forwarder.loads().changed();
    attempt.setCall(forwarder.port().send(dispatch, attempt));
    stallDetector.watch(attempt);
  }

  void onResponseHead(Attempt from) {
    ResponseHead head = from.head();
    from.recordHead(context.now());
    from.recordDataReceived(context.now());
    forwarder.announcements().receive(from);
    if (head.declaresNotExecuted()) {
      onAttemptFailed(from, head.failure());
      return;
    }
    if (!head.isForwardable() || !callerResponse.canContinueWith(from)) {
      onAttemptFailed(from, TargetFailure.ERROR);
    }
  }

  void onBody(Attempt from, byte[] bytes) {
    from.recordDataReceived(context.now());
    if (from.isEventStream()) {
      if (relay.forward(from, bytes)) {
        versions.recordEvent(from, context.now());
        poison.recordProgress(from);
      } else {
        onAttemptFailed(from, TargetFailure.ERROR);
      }
      return;
    }
    from.body().writeBytes(bytes);
    if (from.body().size() > forwarder.policy().maxBufferedBytes()) {
      // Too long to be held until it is whole: from now on there is no second attempt.
      callerResponse.commit(from.takeResponse());
    }
  }

  /** The first event of an attempt is here. */
  void onFirstEvent(Attempt from) {
    versions.recordFirstEvent(from, context.now());
    stallDetector.watch(from);
    forwarder.loads().changed();
    if (!from.isContinuation()) {
      forwarder.overload().learn(service, context.now() - from.startedAt());
    }
    log.log(EventCode.FIRST_TOKEN, "target=" + from.target().description().id());
  }

  void onResponseEnd(Attempt from, ResponseEnd end) {
    endCheck.onResponseEnd(from, end);
  }

  /** The target's answer is at its end and nothing of it is missing. */
  void onCompleteResponse(Attempt from) {
    releaseAttempt(from);
    attemptCounter.recordExecution();
    if (route.kind() != RouteKind.STREAM) {
      forwarder.overload().learn(service, from.endedAt() - from.startedAt());
    }
    TargetResponse answer = from.takeResponse();
    search.recordResponse(from, answer);
    versions.recordCompleteResponse(from, answer);
    poison.recordSuccess();
    if (answer.isError() && !callerResponse.hasBegun() && retries.mayExecuteAgain()) {
      callerResponse.holdError(answer);
      log.log(
          EventCode.CALL_RETRIED,
          "target=" + from.target().description().id() + " status=" + answer.head().status());
      retries.retry();
      return;
    }
    respond(answer);
  }

  private void respond(TargetResponse answer) {
    callerResponse.finish(answer);
    log.log(EventCode.REQUEST_ANSWERED, "status=" + answer.head().status());
    forwarder.recordResponse(route, context.now() - startedAt);
    finish();
  }

  void onAttemptFailed(Attempt from, TargetFailure failure) {
    boolean ran = from.mayHaveExecuted() && !failure.provesNotRun();
    if (ran) {
      search.copies().onAttemptBroken(from);
    }
    releaseAttempt(from);
    from.cancel();
    log.logAttemptFailed(from, failure, ran);
    if (failure.isUnsent()) {
      attemptCounter.unreached();
    }
    if (ran) {
      mayHaveExecuted = true;
      attemptCounter.recordExecution();
    }
    search.recordFailure(from, failure);
    poison.recordFailure(from, failure, ran);
    versions.recordFailure(from, failure, context.now());
    poison.beforeNextAttempt(from, () -> retries.retryOrFail(from, ran));
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    boolean ran = mayHaveExecuted || isExecuting();
    failRequest(ran ? Rejection.TIMED_OUT : Rejection.NOT_STARTED_IN_TIME);
  }

  /** Ends the request by what the caller has so far, by an error kept back, or by a refusal. */
  void failRequest(Rejection refusal) {
    failRequest(refusal, forwarder.policy().retryAfterMillis(), "");
  }

  void failRequest(Rejection refusal, long retryAfterMillis, String inputs) {
    closeAttempt();
    if (callerResponse.hasBegun()) {
      abortResponse(refusal.name());
    } else {
      callerResponse
          .heldError()
          .ifPresentOrElse(this::respond, () -> reject(refusal, retryAfterMillis, inputs));
    }
  }

  void reject(Rejection refusal, long retryAfterMillis, String inputs) {
    callerResponse.reject(refusal, refusal.retryAfterMillis(retryAfterMillis));
    String separator = inputs.isEmpty() ? "" : " ";
    log.log(EventCode.REQUEST_REFUSED, "reason=" + refusal + separator + inputs);
    forwarder.recordRejection(refusal);
    finish();
  }

  void abortResponse(String reason) {
    closeAttempt();
    callerResponse.abort();
    log.log(EventCode.GENERATION_INTERRUPTED, "reason=" + reason);
    forwarder.recordInterruption(route);
    finish();
  }

  private void closeAttempt() {
    if (attempt != null && !attempt.isClosed()) {
      versions.recordAbandoned(attempt, context.now());
      releaseAttempt(attempt);
      attempt.cancel();
    }
  }

  /** Counts an attempt that has ended. */
  private void releaseAttempt(Attempt ended) {
    if (!ended.close()) {
      return;
    }
    stallDetector.stop();
    search.copies().release();
    forwarder.targets().closed(ended.target());
    forwarder.loads().changed();
  }

  private void finish() {
    finished = true;
    deadlineTimer.cancel();
    admissionWait.end();
    stallDetector.stop();
    forwarder.onFinished(this);
  }

  /** Returns how far the request has come, for the log. */
  String progress() {
    return ExchangeLog.progress(
        attemptCounter.started(),
        relay.lastEventId(),
        context.now() - startedAt,
        deadline - context.now());
  }
}
