package org.gatereel.core.forward;

import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.choice.TargetChoice;
import org.gatereel.core.target.TargetState;

/**
 * Finds the target of each try of one request, and gets a token where the target takes only so many
 * requests.
 *
 * <p>A token may have to be borrowed, which takes some milliseconds: the caller may have left by
 * then, and the target may not be one to send to any more. A target that has none left is passed
 * over, and so is one that rests. Where all are passed over, the request waits for a short while
 * and is then refused; it never waits until its time is up.
 */
final class Placement {
  /**
   * How long a request waits for a token before it is refused, as a part of the time within which
   * its caller wants the answer: one that is refused by then can still be served in time elsewhere.
   */
  private static final double WAITING_PART = 0.25;

  /** Callers leave a stream that pauses for longer than this. */
  private static final long LONGEST_PAUSE_MILLIS = 2_000;

  /**
   * How long to wait where no target has a token, or so many in a row had none: at the most 88
   * questions of a stream that wants its first event within 4.5 s (arithmetic).
   */
  private static final long RETRY_MILLIS = 100;

  private static final int MOST_DENIALS = 8;

  /** Where calls may wait but little, they ask again so often. */
  private static final int LEAST_RETRIES = 3;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final TargetSearch search;
  private final Retries retries;
  private final Route route;
  private final ExchangeLog log;
  private final long deadline;
  private long waitUntil = Long.MIN_VALUE;
  private int denials;

  /**
   * Where a try goes: a target, and the copy there that a run goes on from; and when it was chosen.
   */
  private record Place(TargetChoice choice, Optional<String> copy, long chosenAt) {
    TargetState target() {
      return choice.target();
    }
  }

  Placement(
      Forwarder forwarder,
      Exchange exchange,
      TargetSearch search,
      Retries retries,
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
  }

  /**
   * Runs a step once it is known, where a caller came back for the rest of a stream, which engine
   * keeps its prompt, so that it is asked first.
   */
  void locatePrompt(Runnable step) {
    if (search.mayFindPrompt()) {
      search.findPrompt(found -> located(found, step));
    } else {
      step.run();
    }
  }

  private void located(PromptLocator.Located found, Runnable step) {
    if (!exchange.isOver()) {
      log.located(found);
      step.run();
    }
  }

  /** Looks for a target for the next try; the exchange is told of it, or that there is none. */
  void next() {
    waitUntil = forwarder.context().now() + patienceMillis();
    denials = 0;
    search.endPassingOver();
    search
        .copies()
        .take()
        .ifPresentOrElse(
            copy -> claim(TargetChoice.only(copy.holder()), Optional.of(copy.name())),
            this::choose);
  }

  private void choose() {
    search
        .choose(retries.isResumableStream(), exchange.isUnderWay())
        .ifPresentOrElse(choice -> claim(choice, Optional.empty()), this::nothingFound);
  }

  private void claim(TargetChoice choice, Optional<String> copy) {
    Place place = new Place(choice, copy, forwarder.context().now());
    TargetState target = choice.target();
    forwarder
        .limits()
        .take(
            target.description().id(),
            target.description().dataCentre(),
            exchange.isUnderWay(),
            granted -> claimed(place, granted));
  }

  private boolean hasWaitedEnough() {
    return forwarder.context().now() >= waitUntil;
  }

  private void claimed(Place place, boolean granted) {
    boolean justChosen = place.chosenAt() == forwarder.context().now();
    boolean wanted = !exchange.isOver() && (justChosen || search.mayHave(place.target()));
    if (granted && wanted) {
      exchange.send(place.choice(), place.copy());
      return;
    }
    if (granted) {
      forwarder.limits().giveBack(place.target().description().id());
    }
    if (exchange.isOver()) {
      return;
    }
    denials += granted ? 0 : 1;
    if (hasWaitedEnough()) {
      search.passOverLimited();
      choose();
    } else if (denials < MOST_DENIALS) {
      choose();
    } else {
      waitForTokens();
    }
  }

  private void nothingFound() {
    if (search.isAnySpent(exchange.isUnderWay())) {
      waitForTokens();
      return;
    }
    OptionalLong usable = search.millisToEndOfRest(retries.isResumableStream());
    OptionalLong first = search.millisToEndOfRest(true);
    if (usable.isPresent() && forwarder.context().now() + usable.getAsLong() <= waitUntil) {
      forwarder.context().schedule(usable.getAsLong(), this::chooseIfOpen);
    } else if (first.isPresent()) {
      long again = forwarder.overload().returnMillisAfter(first.getAsLong());
      refuse(again, "restMillis=" + first.getAsLong());
    } else {
      exchange.giveUp(exchange.unserved(Refusal.NO_TARGET));
    }
  }

  private void waitForTokens() {
    denials = 0;
    if (hasWaitedEnough()) {
      refuse(forwarder.overload().returnMillis(search.service(), deadline), "limits=spent");
      return;
    }
    long left = waitUntil - forwarder.context().now();
    long wait =
        Math.min(left, Math.min(RETRY_MILLIS, Math.max(1, patienceMillis() / LEAST_RETRIES)));
    forwarder.context().schedule(wait, this::chooseIfOpen);
  }

  /** No target takes the request for now. */
  private void refuse(long againMillis, String inputs) {
    exchange.giveUp(exchange.unserved(Refusal.OVERLOADED), againMillis, inputs);
  }

  private void chooseIfOpen() {
    if (!exchange.isOver()) {
      choose();
    }
  }

  private long patienceMillis() {
    return exchange.isUnderWay()
        ? LONGEST_PAUSE_MILLIS
        : Math.round(WAITING_PART * route.aimMillis());
  }
}
