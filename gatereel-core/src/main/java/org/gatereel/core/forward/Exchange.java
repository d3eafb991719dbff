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
import org.gatereel.core.overload.ArrivingRequest;
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
  private final Reply reply;
  private final Route route;
  private final ServiceName service;
  private final Optional<AccountId> account;
  private final long startedAt;
  private final long deadline;
  private final TimerQueue.Timer deadlineTimer;
  private final TargetSearch search;
  private final SilenceWatch silence;
  private final Turn turn;
  private final Placement placement;
  private final ExchangeLog log;
  private final EndCheck ends;
  private final StreamRelay relay;
  private final VersionWitness witness;
  private final Retries retries;
  private final TryCount tries;
  private final PoisonWatch poison;
  private Attempt attempt;
  private boolean mayHaveRun;
  private boolean over;

  Exchange(
      Forwarder forwarder,
      ForwardRequest request,
      CallerPort caller,
      ConfigurationKeeper.Lookup.Allowed allowed) {
    this.forwarder = forwarder;
    this.context = forwarder.context();
    this.request = request;
    this.reply = new Reply(caller);
    this.route = allowed.route();
    this.account = allowed.account();
    this.poison =
        new PoisonWatch(forwarder, () -> Fingerprint.of(account, request.contentDigest()));
    this.service = route.chooseService(context.random().nextDouble());
    this.search =
        new TargetSearch(
            forwarder,
            request,
            route,
            service,
            allowed.configuration().service(service).flatMap(ServicePlan::engine));
    this.startedAt = context.now();
    this.deadline =
        startedAt
            + Math.min(route.timeoutMillis(), request.remainingMillis().orElse(Long.MAX_VALUE));
    this.relay = new StreamRelay(this, context, request, reply, route);
    this.witness = new VersionWitness(forwarder.rollouts(), service, route);
    this.log = new ExchangeLog(forwarder, this, request);
    this.retries = new Retries(forwarder, this, log, route, service, reply, relay, deadline);
    this.tries = retries.tries();
    this.ends = new EndCheck(forwarder, this, relay, log);
    this.placement = new Placement(forwarder, this, search, retries, route, log, deadline);
    this.deadlineTimer = context.timers().add(deadline, this::deadlinePassed);
    this.silence = new SilenceWatch(forwarder, this, route);
    this.turn =
        new Turn(
            forwarder,
            this,
            log,
            new ArrivingRequest(service, route.priority(), account, route.aimMillis(), deadline));
  }

  /** Begins to look for a target. */
  void start() {
    if (poison.isHeld()) {
      refuse(Refusal.HELD_BACK, forwarder.policy().retryAfterMillis(), poison.reason());
      return;
    }
    forwarder.budgets().earn(service);
    turn.begin(relay.lastEventId().isPresent());
  }

  /** The request has its turn. */
  void admitted() {
    placement.locatePrompt(this::tryNext);
  }

  /** The caller closed its connection; nothing more is sent. */
  public void callerGone() {
    if (over) {
      return;
    }
    log.note(EventCode.CALLER_GONE, "");
    closeAttempt();
    finish();
  }

  /** Breaks the request off because this host stops. */
  void stop() {
    if (over) {
      return;
    }
    if (reply.hasBegun()) {
      abort(Refusal.STOPPING.name());
    } else {
      giveUp(mayHaveRun || isRunning() ? Refusal.TARGET_FAILED : Refusal.STOPPING);
    }
  }

  private boolean isRunning() {
    return attempt != null && !attempt.isClosed() && attempt.mayHaveRun();
  }

  /** Returns the target that has the request now. */
  Optional<TargetState> currentTarget() {
    return attempt == null || attempt.isClosed() ? Optional.empty() : Optional.of(attempt.target());
  }

  boolean isOver() {
    return over;
  }

  /** Returns the refusal that is true of a request that no target can be tried for any more. */
  Refusal unserved(Refusal ifNotRun) {
    return mayHaveRun ? Refusal.TARGET_FAILED : ifNotRun;
  }

  Attempt attempt() {
    return attempt;
  }

  /** Returns what watches whether targets end under this request. */
  PoisonWatch poison() {
    return poison;
  }

  /** Returns whether the target may be left for another one without breaking a promise. */
  boolean mayMove() {
    return route.mayRepeat();
  }

  /** The target that has the request does not work any more. */
  void targetLost(TargetFailure failure) {
    if (!over && attempt != null && !attempt.isClosed()) {
      log.note(EventCode.ATTEMPT_SUSPECTED, "target=" + attempt.target().description().id());
      failed(attempt, failure);
    }
  }

  /** The request is held back from now on. */
  void held() {
    boolean runs = attempt != null && !attempt.isClosed() && attempt.hasEvents();
    if (!over && !runs) {
      giveUp(mayHaveRun || isRunning() ? Refusal.TARGET_FAILED : Refusal.HELD_BACK);
    }
  }

  void tryNext() {
    if (poison.isHeld()) {
      giveUp(unserved(Refusal.HELD_BACK));
      return;
    }
    if (tries.isUsedUp()) {
      giveUp(unserved(Refusal.OVERLOADED));
      return;
    }
    placement.next();
  }

  /** Returns whether the caller has part of the answer. */
  boolean isUnderWay() {
    return relay.lastEventId().isPresent();
  }

  /** Returns whether the target of the present attempt may still be sent the request. */
  boolean mayStillHave(TargetState target) {
    return search.mayStillHave(target);
  }

  /**
   * Sends the request to a target.
   *
   * @param from the name of the copy there that the run goes on from
   */
  void send(TargetChoice choice, Optional<String> from) {
    TargetState target = choice.target();
    tries.begin();
    attempt = new Attempt(this, target, from.isPresent(), context.now());
    forwarder.targets().opened(target);
    witness.sent(attempt);
    if (route.kind() == RouteKind.STREAM && !search.hasPrompt(target)) {
      attempt.beginReading();
    }
    Optional<Address> copyTo = search.begin(target);
    Dispatch dispatch =
        new Dispatch(
            request,
            target.description(),
            account,
            Math.max(1, deadline - context.now()),
            relay.lastEventId(),
            copyTo,
            from,
            reply.hasBegun());
    log.forwarded(route, dispatch, choice, tries.begun());
    forwarder.loads().scheduleReports();
    attempt.started(forwarder.port().send(dispatch, attempt));
    silence.watch(attempt);
  }

  void answered(Attempt from) {
    AnswerHead head = from.head();
    from.noteHead(context.now());
    from.noteSign(context.now());
    forwarder.statements().heard(from);
    if (head.declaresNotRun()) {
      failed(from, head.refusal());
      return;
    }
    if (!head.mayReachCaller() || !reply.canGoOnWith(from)) {
      failed(from, TargetFailure.ERROR);
    }
  }

  void received(Attempt from, byte[] bytes) {
    from.noteSign(context.now());
    if (from.answersWithStream()) {
      if (relay.pass(from, bytes)) {
        witness.event(from, context.now());
        poison.goesOn(from);
      } else {
        failed(from, TargetFailure.ERROR);
      }
      return;
    }
    from.body().writeBytes(bytes);
    if (from.body().size() > forwarder.policy().bufferBytes()) {
      // Too long to be held until it is whole: from now on there is no second attempt.
      reply.commit(from.takeAnswer());
    }
  }

  /** The first event of an attempt is here. */
  void firstEvent(Attempt from) {
    witness.firstEvent(from, context.now());
    silence.watch(from);
    forwarder.loads().scheduleReports();
    if (!from.isContinuation()) {
      forwarder.overload().recordServiceTime(service, context.now() - from.startedAt());
    }
    log.note(EventCode.FIRST_TOKEN, "target=" + from.target().description().id());
  }

  void ended(Attempt from, AnswerEnd end) {
    ends.ended(from, end);
  }

  /** The target's answer is at its end and nothing of it is missing. */
  void whole(Attempt from) {
    settle(from);
    tries.ran();
    if (route.kind() != RouteKind.STREAM) {
      forwarder.overload().recordServiceTime(service, from.endedAt() - from.startedAt());
    }
    Answer answer = from.takeAnswer();
    search.answered(from, answer);
    witness.whole(from, answer);
    poison.ranWell();
    if (answer.isError() && !reply.hasBegun() && retries.mayRunAgain()) {
      reply.keepBack(answer);
      log.note(
          EventCode.CALL_RETRIED,
          "target=" + from.target().description().id() + " status=" + answer.head().status());
      retries.repeat();
      return;
    }
    answer(answer);
  }

  private void answer(Answer answer) {
    reply.finish(answer);
    log.note(EventCode.REQUEST_ANSWERED, "status=" + answer.head().status());
    forwarder.answered(route, context.now() - startedAt);
    finish();
  }

  void failed(Attempt from, TargetFailure failure) {
    boolean ran = from.mayHaveRun() && !failure.provesNotRun();
    if (ran) {
      search.copies().attemptBroke(from);
    }
    settle(from);
    from.cancel();
    log.failed(from, failure, ran);
    if (failure.isUnsent()) {
      tries.unreached();
    }
    if (ran) {
      mayHaveRun = true;
      tries.ran();
    }
    search.failed(from, failure);
    poison.broke(from, failure, ran);
    witness.failed(from, failure, context.now());
    poison.beforeNextTry(from, () -> retries.goOn(from, ran));
  }

  private void deadlinePassed() {
    if (over) {
      return;
    }
    boolean ran = mayHaveRun || isRunning();
    giveUp(ran ? Refusal.TIMED_OUT : Refusal.NOT_STARTED_IN_TIME);
  }

  /** Ends the request by what the caller has so far, by an error kept back, or by a refusal. */
  void giveUp(Refusal refusal) {
    giveUp(refusal, forwarder.policy().retryAfterMillis(), "");
  }

  void giveUp(Refusal refusal, long retryAfterMillis, String inputs) {
    closeAttempt();
    if (reply.hasBegun()) {
      abort(refusal.name());
    } else {
      reply
          .keptBack()
          .ifPresentOrElse(this::answer, () -> refuse(refusal, retryAfterMillis, inputs));
    }
  }

  void refuse(Refusal refusal, long retryAfterMillis, String inputs) {
    reply.refuse(refusal, refusal.retryAfterMillis(retryAfterMillis));
    String separator = inputs.isEmpty() ? "" : " ";
    log.note(EventCode.REQUEST_REFUSED, "reason=" + refusal + separator + inputs);
    forwarder.refused(refusal);
    finish();
  }

  void abort(String reason) {
    closeAttempt();
    reply.abort();
    log.note(EventCode.GENERATION_INTERRUPTED, "reason=" + reason);
    forwarder.interrupted(route);
    finish();
  }

  private void closeAttempt() {
    if (attempt != null && !attempt.isClosed()) {
      witness.givenUp(attempt, context.now());
      settle(attempt);
      attempt.cancel();
    }
  }

  /** Counts an attempt that has ended. */
  private void settle(Attempt ended) {
    if (!ended.close()) {
      return;
    }
    silence.stop();
    search.copies().stop();
    forwarder.targets().closed(ended.target());
    forwarder.loads().scheduleReports();
  }

  private void finish() {
    over = true;
    deadlineTimer.cancel();
    turn.end();
    silence.stop();
    forwarder.over(this);
  }

  /** Returns how far the request has come, for the log. */
  String progress() {
    return ExchangeLog.progress(
        tries.begun(), relay.lastEventId(), context.now() - startedAt, deadline - context.now());
  }
}
