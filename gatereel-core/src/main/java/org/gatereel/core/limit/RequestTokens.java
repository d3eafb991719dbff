package org.gatereel.core.limit;

import java.util.ArrayDeque;
import java.util.EnumMap;
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
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.LimitFact;

/**
 * Gets tokens for this host's requests to targets that take only so many, one for each request that
 * is sent.
 *
 * <p>Requests for one target that wait at the same time are asked for together. A target that has
 * none left is passed over until its lender expects one.
 */
public final class RequestTokens {
  /**
   * How long a target is passed over for which no lender answered: most of them are where it is, so
   * that it is probably out of reach too. As long they are not asked for other targets either.
   */
  private static final long UNANSWERED_MILLIS = 1_000;

  /** Those beside the target, and the first elsewhere; more would let the request wait too long. */
  private static final int MOST_LENDERS = LenderDirectory.FIRST_HERE + 1;

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

  /** How soon tokens are needed. */
  private enum Urgency {
    /** Streams whose callers have part of the answer, and cannot wait. */
    URGENT,
    /** All others. */
    USUAL
  }

  /** What this host has of one target's tokens, and who waits for some. */
  private final class Purse {
    private final TargetId target;
    private final Map<Urgency, WaitingGroup> waiting = new EnumMap<>(Urgency.class);
    private final Map<Urgency, Long> spentUntil = new EnumMap<>(Urgency.class);
    private final Queue<Long> spares = new ArrayDeque<>();
    private DataCentre dataCentre;
    private long deniedSinceLog;
    private long loggedAt = Long.MIN_VALUE / 2;

    private Purse(TargetId target) {
      this.target = target;
      for (Urgency each : Urgency.values()) {
        waiting.put(each, new WaitingGroup());
      }
    }

    private boolean takeSpare() {
      while (!spares.isEmpty() && spares.peek() < context.now()) {
        spares.remove();
      }
      return spares.poll() != null;
    }

    private void take(Urgency urgency, Consumer<Boolean> answer) {
      if (takeSpare()) {
        answer.accept(true);
        return;
      }
      waiting.get(urgency).add(answer);
      ask(urgency);
    }

    private void ask(Urgency urgency) {
      int count = waiting.get(urgency).begin();
      if (count == 0) {
        return;
      }
      Optional<AnnouncedLimit> limit = book.find(target);
      if (limit.isEmpty()) {
        lent(urgency, count, new Loan(count, 0));
        return;
      }
      LoanSubject.Requests asked =
          new LoanSubject.Requests(
              new LimitFact(target, limit.get()), dataCentre, urgency == Urgency.URGENT, false);
      ask(asked, count, 1, loan -> lent(urgency, count, loan));
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

    private void lent(Urgency urgency, int count, Loan loan) {
      int served = Math.min(count, loan.granted());
      if (served < count) {
        long again = loan.againMillis() > 0 ? loan.againMillis() : UNANSWERED_MILLIS;
        spentUntil.put(urgency, context.now() + again);
        noteDenied(count - served, again);
      }
      granted += served;
      denied += count - served;
      waiting.get(urgency).settle(count, served);
      ask(urgency);
    }

    private void noteDenied(int count, long again) {
      deniedSinceLog += count;
      if (context.now() - loggedAt < LOG_MILLIS) {
        return;
      }
      context.logEvent(
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

    private boolean isSpent(Urgency urgency) {
      return spentUntil.getOrDefault(urgency, Long.MIN_VALUE) > context.now();
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
    purse.take(urgent ? Urgency.URGENT : Urgency.USUAL, answer);
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
          if (purse.isSpent(urgent ? Urgency.URGENT : Urgency.USUAL)
              && book.find(target).isPresent()) {
            spent.add(target);
          }
        });
    return spent;
  }

  private boolean isIdle(TargetId target) {
    Purse purse = purses.get(target);
    return purse.waiting.values().stream().allMatch(WaitingGroup::isEmpty);
  }

  long granted() {
    return granted;
  }

  long denied() {
    return denied;
  }
}
