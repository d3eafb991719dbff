package org.gatereel.core.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenPort;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.limit.TokenWaiters;
import org.gatereel.core.model.ServiceName;

/**
 * This host's part of each service's retry budget.
 *
 * <p>Repeats in proportion to requests follow from what this host was asked itself. Of what is
 * allowed beside, one half is dealt out in equal parts, so that a host which reaches nobody has its
 * own. The other half is lent by one host of each data centre, the one that also reads the store:
 * when engines fail, a few hosts need many repeats at once and the others none.
 *
 * <p>So the sum of all parts stays within the budget as long as hosts know how many they are and
 * agree on who lends. One that counts too few, as right after a first start, may take more than its
 * part; while a lender is replaced, two of them may each lend their data centre's part once.
 */
final class RetryBudgets {
  /** Kept back for what hosts count a little differently than an observer of all. */
  private static final double MARGIN = 0.9;

  private static final double LENT_PART = 0.5;

  private final CoreContext context;
  private final ForwardPolicy.RetryLimit limit;
  private final HostDirectory directory;
  private final TokenPort port;
  private final Map<ServiceName, Budget> budgets = new HashMap<>();

  /** What this host knows of one service's budget. */
  private final class Budget {
    private final ServiceName service;
    private final RetryWindow own;
    private final RetryWindow lent;
    private final TokenWaiters waiting = new TokenWaiters();

    private Budget(ServiceName service) {
      this.service = service;
      this.own = new RetryWindow(limit.windowMillis(), context.now());
      this.lent = new RetryWindow(limit.windowMillis(), context.now());
    }

    private boolean takeOwn() {
      double slack = (1 - LENT_PART) * MARGIN * limit.slack() / directory.estimatedHosts();
      if (!own.hasRoom(context.now(), MARGIN * limit.ratio(), slack)) {
        return false;
      }
      own.countRepeat(context.now());
      return true;
    }

    private int lend(int count) {
      double part = (double) directory.localHosts() / directory.estimatedHosts();
      double slack = LENT_PART * MARGIN * limit.slack() * part;
      int lending = 0;
      while (lending < count && lent.hasRoom(context.now(), 0, slack)) {
        lent.countRepeat(context.now());
        lending++;
      }
      return lending;
    }

    /** Asks for as many repeats as are waited for, unless an answer is still to come. */
    private void borrow() {
      int count = waiting.startBatch();
      if (count == 0) {
        return;
      }
      directory
          .lender(context.now())
          .ifPresentOrElse(
              lender ->
                  port.requestTokens(
                      lender,
                      new TokenRequest.RetryTokens(service),
                      count,
                      loan -> borrowed(count, loan.orElse(TokenGrant.NONE).granted())),
              () -> borrowed(count, lend(count)));
    }

    private void borrowed(int asked, int given) {
      waiting.completeBatch(asked, given);
      borrow();
    }
  }

  RetryBudgets(
      CoreContext context,
      ForwardPolicy.RetryLimit limit,
      HostDirectory directory,
      TokenPort port) {
    this.context = context;
    this.limit = limit;
    this.directory = directory;
    this.port = port;
  }

  /** Notes a first request for a service. */
  void earn(ServiceName service) {
    budget(service).own.countRequest(context.now());
  }

  /** Takes one repeat; {@code answer} is told, at once or later, whether there is one. */
  void take(ServiceName service, Consumer<Boolean> answer) {
    Budget budget = budget(service);
    if (budget.takeOwn()) {
      answer.accept(true);
      return;
    }
    budget.waiting.add(answer);
    budget.borrow();
  }

  /** Lends repeats to a host of this data centre; returns how many of those asked for. */
  int lend(ServiceName service, int count) {
    return budget(service).lend(count);
  }

  private Budget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, Budget::new);
  }
}
