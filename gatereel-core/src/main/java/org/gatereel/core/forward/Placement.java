package org.gatereel.core.forward;

import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.choice.TargetChoice;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.document.DocumentKind;
import org.gatereel.core.target.TargetState;

/**
 * Finds the target of each attempt of one request, and acquires a token for targets that limit
 * their request rate.
 *
 * <p>Acquiring a token may involve another host. When the result arrives, the caller may have left,
 * or the target may no longer be usable; the token is then returned. Targets without tokens and
 * targets that are backing off are skipped. If none is left, the request waits for a limited time
 * and is then rejected.
 */
final class Placement {
  /**
   * Longest wait for a token as a ratio of the route's response time objective, so that a rejected
   * caller still has time to retry elsewhere.
   */
  private static final double MAX_WAIT_RATIO = 0.25;

  /** Callers abandon a stream that pauses for longer than this. */
  private static final long MAX_STREAM_PAUSE_MILLIS = 2_000;

  /**
   * Delay before the next search after all targets, or several in a row, had no token. A stream
   * with an objective of 4.5 s asks for at most 88 tokens (11 searches of 8).
   */
  private static final long TOKEN_RETRY_DELAY_MILLIS = 100;

  private static final int MAX_CONSECUTIVE_DENIALS = 8;

  /** Short waits are divided into at least this many retries. */
  private static final int MIN_TOKEN_RETRIES = 3;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final TargetSearch search;
  private final RetryController retries;
  private final Route route;
  private final ExchangeLog log;
  private final long deadline;
  private final RoomWait roomWait;
  private long waitUntil = Long.MIN_VALUE;
  private int denials;

  /**
   * The target of an attempt, the memory copy there to continue from, and the time and the round of
   * the choice.
   */
  private record Place(TargetChoice choice, Optional<String> copy, long chosenAt, int round) {
    TargetState target() {
      return choice.target();
    }
  }

  Placement(
      Forwarder forwarder,
      Exchange exchange,
      TargetSearch search,
      RetryController retries,
      Route route,
      ExchangeLog log,
      long deadline) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.search = search;
    this.retries = retries;
    this.route = route;
    this.log = log;
    this.deadline = deadline;
    this.roomWait = new RoomWait(forwarder, exchange, search, retries, route, log);
  }

  /** Runs a step after looking up, for a resumed stream, which engine has its prompt cached. */
  void locatePrompt(Runnable step) {
    if (search.canLocatePrompt()) {
      search.locatePrompt(exchange.steps().callback(found -> onPromptLocated(found, step)));
    } else {
      step.run();
    }
  }

  private void onPromptLocated(PromptLocator.LookupResult found, Runnable step) {
    if (!exchange.isFinished()) {
      log.logPromptLocated(found);
      step.run();
    }
  }

  /**
   * Finds a target for the next attempt and sends the request there, or rejects the request. Waits
   * first while the list of targets may be outdated.
   */
  void placeNextAttempt() {
    whenTargetsAreCertain(this::beginPlacement);
  }

  private void whenTargetsAreCertain(Runnable step) {
    if (!forwarder.freshness().isUncertain(DocumentKind.TARGETS)) {
      step.run();
      return;
    }
    int round = exchange.replacement().round();
    forwarder
        .freshness()
        .await(
            DocumentKind.TARGETS,
            deadline - forwarder.context().now(),
            () -> exchange.steps().run(() -> runInSameRound(round, step)),
            () -> exchange.steps().run(() -> runInSameRound(round, () -> onListLate(step))));
  }

  /** Rejects a request that has not been executed; any other goes on waiting for its deadline. */
  private void onListLate(Runnable step) {
    boolean isExecuted =
        exchange.rejectionWhenUnserved(Rejection.STALE_TARGETS) != Rejection.STALE_TARGETS;
    if (isExecuted || exchange.hasPartialResponse()) {
      whenTargetsAreCertain(step);
    } else {
      exchange.onNoNextAttempt(Rejection.STALE_TARGETS);
    }
  }

  private void beginPlacement() {
    waitUntil = forwarder.context().now() + maxWaitMillis();
    denials = 0;
    search.includeLimitedTargets();
    roomWait.beginAttempt();
    search
        .copies()
        .takeCopy()
        .filter(copy -> search.hasRoom(copy.holder()))
        .ifPresentOrElse(
            copy -> acquireToken(TargetChoice.only(copy.holder()), Optional.of(copy.name())),
            this::chooseNow);
  }

  private void choose() {
    whenTargetsAreCertain(this::chooseNow);
  }

  private void chooseNow() {
    search
        .choose(retries.isResumableStream(), exchange.hasPartialResponse())
        .ifPresentOrElse(this::sendWhenRoom, this::onNoTarget);
  }

  private void sendWhenRoom(TargetChoice choice) {
    if (roomWait.mustWait(choice.target())) {
      waitUntil = forwarder.context().now() + maxWaitMillis();
      roomWait.begin(chooseInSameRound());
    } else {
      acquireToken(choice, Optional.empty());
    }
  }

  private void acquireToken(TargetChoice choice, Optional<String> copy) {
    Place place =
        new Place(choice, copy, forwarder.context().now(), exchange.replacement().round());
    TargetState target = choice.target();
    forwarder
        .limits()
        .acquire(
            target.description().id(),
            target.description().dataCentre(),
            exchange.hasPartialResponse(),
            exchange.steps().callback(granted -> onTokenResult(place, granted)));
  }

  private boolean isWaitOver() {
    return forwarder.context().now() >= waitUntil;
  }

  private void onTokenResult(Place place, boolean granted) {
    boolean isJustChosen = place.chosenAt() == forwarder.context().now();
    boolean isWanted = exchange.replacement().isInRound(place.round());
    boolean maySend = isWanted && (isJustChosen || search.mayReceive(place.target()));
    if (granted && maySend) {
      roomWait.end();
      exchange.send(place.choice(), place.copy());
      return;
    }
    if (granted) {
      forwarder.limits().release(place.target().description().id());
    }
    if (!isWanted) {
      return;
    }
    denials += granted ? 0 : 1;
    if (isWaitOver()) {
      search.skipLimitedTargets();
      choose();
    } else if (denials < MAX_CONSECUTIVE_DENIALS) {
      choose();
    } else {
      waitForTokens();
    }
  }

  private void onNoTarget() {
    if (search.hasTargetWithoutToken(exchange.hasPartialResponse())) {
      waitForTokens();
      return;
    }
    OptionalLong millisToUsable = search.millisToFirstBackoffEnd(retries.isResumableStream());
    OptionalLong millisToAny = search.millisToFirstBackoffEnd(true);
    if (millisToUsable.isPresent()
        && forwarder.context().now() + millisToUsable.getAsLong() <= waitUntil) {
      exchange.steps().schedule(millisToUsable.getAsLong(), chooseInSameRound());
    } else if (millisToAny.isPresent()) {
      long retryAfterMillis =
          forwarder.overload().drawRetryAfterBackoffMillis(millisToAny.getAsLong());
      reject(retryAfterMillis, "restMillis=" + millisToAny.getAsLong());
    } else {
      exchange.onNoNextAttempt(exchange.rejectionWhenUnserved(Rejection.NO_TARGET));
    }
  }

  private void waitForTokens() {
    denials = 0;
    if (isWaitOver()) {
      reject(forwarder.overload().drawRetryAfterMillis(search.service(), deadline), "limits=spent");
      return;
    }
    long remainingMillis = waitUntil - forwarder.context().now();
    long delayMillis =
        Math.min(
            remainingMillis,
            Math.min(TOKEN_RETRY_DELAY_MILLIS, Math.max(1, maxWaitMillis() / MIN_TOKEN_RETRIES)));
    exchange.steps().schedule(delayMillis, chooseInSameRound());
  }

  private void reject(long retryAfterMillis, String inputs) {
    exchange.onNoNextAttempt(
        exchange.rejectionWhenUnserved(Rejection.OVERLOADED), retryAfterMillis, inputs);
  }

  /** Returns a step that searches again, unless the search has been called off by then. */
  private Runnable chooseInSameRound() {
    int round = exchange.replacement().round();
    return () -> runInSameRound(round, this::choose);
  }

  private void runInSameRound(int round, Runnable step) {
    if (exchange.replacement().isInRound(round)) {
      step.run();
    }
  }

  /** Ends all waiting; safe to call more than once. */
  void end() {
    roomWait.end();
  }

  private long maxWaitMillis() {
    return exchange.hasPartialResponse()
        ? MAX_STREAM_PAUSE_MILLIS
        : Math.round(MAX_WAIT_RATIO * route.objectiveMillis());
  }
}
