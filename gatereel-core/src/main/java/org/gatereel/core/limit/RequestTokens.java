package org.gatereel.core.limit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;

/**
 * Gets tokens for this host's requests to targets that take only so many, one for each request that
 * is sent.
 *
 * <p>Requests for one target that wait at the same time are asked for together. A target that has
 * none left is passed over until its lender expects one.
 */
public final class RequestTokens {
  /**
   * How long a target is passed over for which two lenders did not answer: they are where it is, so
   * that it is out of reach too. As long they are not asked by others either.
   */
  private static final long UNANSWERED_MILLIS = 1_000;

  /** Beside the first lender one more is asked: the request waits meanwhile. */
  private static final int MOST_LENDERS = 2;

  /** A token that a request did not use serves the next one for so long, and then is let go. */
  private static final long SPARE_MILLIS = 500;

  /** A target that has no tokens is logged no more often. */
  private static final long LOG_MILLIS = 1_000;

  private final CoreContext context;
  private final LimitBook book;
  private final LenderRanking ranking;
  private final LoanPort port;
  private final TokenLender lender;
  private final Map<TargetId, Purse> purses = new HashMap<>();
  private long granted;
  private long denied;

  /** Whose tokens are asked for. */
  private enum Class {
    /** Streams whose callers have part of the answer, and cannot wait. */
    URGENT,
    /** All others. */
    USUAL
  }

  /** What this host has of one target's tokens, and who waits for some. */
  private final class Purse {
    private final TargetId target;
    private final Map<Class, Queue<Consumer<Boolean>>> waiting = new HashMap<>();
    private final Map<Class, Long> spentUntil = new HashMap<>();
    private final Queue<Long> spares = new ArrayDeque<>();
    private DataCentre dataCentre;
    private boolean asking;
    private long deniedSinceLog;
    private long loggedAt = Long.MIN_VALUE / 2;

    private Purse(TargetId target) {
      this.target = target;
      for (Class each : Class.values()) {
        waiting.put(each, new ArrayDeque<>());
      }
    }

    private boolean takeSpare() {
      while (!spares.isEmpty() && spares.peek() < context.now()) {
        spares.remove();
      }
      return spares.poll() != null;
    }

    private void take(Class whose, Consumer<Boolean> answer) {
      if (takeSpare()) {
        answer.accept(true);
        return;
      }
      waiting.get(whose).add(answer);
      ask();
    }

    private void ask() {
      Class whose = waiting.get(Class.URGENT).isEmpty() ? Class.USUAL : Class.URGENT;
      int count = waiting.get(whose).size();
      if (asking || count == 0) {
        return;
      }
      asking = true;
      Optional<AnnouncedLimit> limit = book.find(target);
      if (limit.isEmpty()) {
        lent(whose, count, new Loan(count, 0));
        return;
      }
      LoanSubject.Requests asked =
          new LoanSubject.Requests(
              new LimitFact(target, limit.get()), dataCentre, whose == Class.URGENT, false);
      ask(asked, count, 1, loan -> lent(whose, count, loan));
    }

    private void ask(LoanSubject.Requests asked, int count, int number, Consumer<Loan> answer) {
      Optional<Address> host = ranking.first(target, dataCentre);
      if (host.isEmpty()) {
        lender.lend(asked, count, loan -> answer.accept(loan.orElse(Loan.NONE)));
        return;
      }
      port.borrow(
          host.get(),
          asked,
          count,
          loan -> {
            if (loan.isPresent()) {
              answer.accept(loan.get());
              return;
            }
            ranking.passOver(host.get(), target);
            if (number < MOST_LENDERS) {
              ask(asked, count, number + 1, answer);
            } else {
              answer.accept(Loan.NONE);
            }
          });
    }

    private void lent(Class whose, int count, Loan loan) {
      asking = false;
      int served = Math.min(count, loan.granted());
      if (served < count) {
        long again = loan.againMillis() > 0 ? loan.againMillis() : UNANSWERED_MILLIS;
        spentUntil.put(whose, context.now() + again);
        noteDenied(count - served, again);
      }
      granted += served;
      denied += count - served;
      for (int index = 0; index < count; index++) {
        waiting.get(whose).remove().accept(index < served);
      }
      ask();
    }

    private void noteDenied(int count, long again) {
      deniedSinceLog += count;
      if (context.now() - loggedAt < LOG_MILLIS) {
        return;
      }
      context.note(
          EventCode.LIMIT_REACHED,
          target.toString(),
          "perSecond="
              + book.perSecond(target)
              + " passedOver="
              + deniedSinceLog
              + " againMillis="
              + again);
      loggedAt = context.now();
      deniedSinceLog = 0;
    }

    private boolean isSpent(Class whose) {
      return spentUntil.getOrDefault(whose, Long.MIN_VALUE) > context.now();
    }
  }

  RequestTokens(
      CoreContext context,
      LimitBook book,
      LenderRanking ranking,
      LoanPort port,
      TokenLender lender) {
    this.context = context;
    this.book = book;
    this.ranking = ranking;
    this.port = port;
    this.lender = lender;
  }

  /**
   * Takes a token for one request.
   *
   * @param urgent whether it goes on with a stream that its caller has part of
   * @param answer is told once, at once or later, whether the request may be sent
   */
  void take(TargetId target, DataCentre dataCentre, boolean urgent, Consumer<Boolean> answer) {
    if (book.find(target).isEmpty()) {
      answer.accept(true);
      return;
    }
    Purse purse = purses.computeIfAbsent(target, Purse::new);
    purse.dataCentre = dataCentre;
    purse.take(urgent ? Class.URGENT : Class.USUAL, answer);
  }

  /** Takes a token back that a request has not used; the next one at this host has it. */
  void giveBack(TargetId target) {
    Purse purse = purses.get(target);
    if (purse != null) {
      purse.spares.add(context.now() + SPARE_MILLIS);
    }
  }

  /** Returns the targets for which no token is to be had just now. */
  Set<TargetId> spent(boolean urgent) {
    if (purses.isEmpty()) {
      return Set.of();
    }
    purses.keySet().removeIf(target -> book.find(target).isEmpty() && isIdle(target));
    Set<TargetId> spent = new HashSet<>();
    purses.forEach(
        (target, purse) -> {
          if (purse.isSpent(urgent ? Class.URGENT : Class.USUAL) && book.find(target).isPresent()) {
            spent.add(target);
          }
        });
    return spent;
  }

  private boolean isIdle(TargetId target) {
    Purse purse = purses.get(target);
    return !purse.asking && purse.waiting.values().stream().allMatch(Queue::isEmpty);
  }

  long granted() {
    return granted;
  }

  long denied() {
    return denied;
  }
}
