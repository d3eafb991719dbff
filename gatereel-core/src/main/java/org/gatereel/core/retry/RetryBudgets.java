package org.gatereel.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenPort;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.limit.TokenWaiters;
import org.gatereel.core.model.ServiceName;

/**
 * This host's share of each service's retry budget.
 *
 * <p>Retries in proportion to requests follow from the requests that this host received. Half of
 * the additional allowance is divided equally among all hosts, so that an isolated host keeps its
 * own. The other half is granted on request by one host of each data centre, the one that also
 * reads the store, because after engine failures a few hosts need many retries at once.
 *
 * <p>The sum over all hosts stays within the budget as long as hosts agree on their number and on
 * who grants. A host that counts too few hosts, as right after the first start, may exceed its
 * share; while the granting host is being replaced, two hosts may each grant their data centre's
 * share once.
 */
public final class RetryBudgets {
  /** Leaves room for differences between the hosts' counts. */
  private static final double SAFETY_RATIO = 0.9;

  private static final double ISSUED_RATIO = 0.5;

  private final CoreContext context;
  private final RetryLimit limit;
  private final HostDirectory directory;
  private final TokenPort port;
  private final Map<ServiceName, Budget> budgets = new HashMap<>();

  /** The budget of one service as this host knows it. */
  private final class Budget {
    private final ServiceName service;
    private final RetryWindow local;
    private final RetryWindow issued;
    private final TokenWaiters waiters = new TokenWaiters();

    private Budget(ServiceName service) {
      this.service = service;
      this.local = new RetryWindow(limit.windowMillis(), context.now());
      this.issued = new RetryWindow(limit.windowMillis(), context.now());
    }

    private boolean tryAcquireLocal() {
      double slack = (1 - ISSUED_RATIO) * SAFETY_RATIO * limit.slack() / directory.estimatedHosts();
      if (!local.hasRoom(context.now(), SAFETY_RATIO * limit.ratio(), slack)) {
        return false;
      }
      local.recordRetry(context.now());
      return true;
    }

    private int lend(int count) {
      int lent = 0;
      while (lent < count && tryAcquireLocal()) {
        lent++;
      }
      return lent;
    }

    private int issue(int count) {
      double dataCentreRatio = (double) directory.localHosts() / directory.estimatedHosts();
      double slack = ISSUED_RATIO * SAFETY_RATIO * limit.slack() * dataCentreRatio;
      int grantedCount = 0;
      while (grantedCount < count && issued.hasRoom(context.now(), 0, slack)) {
        issued.recordRetry(context.now());
        grantedCount++;
      }
      return grantedCount;
    }

    /** Requests one retry for each waiter, unless a request is already pending. */
    private void requestTokens() {
      int count = waiters.startBatch();
      if (count == 0) {
        return;
      }
      directory
          .issuer(context.now())
          .ifPresentOrElse(
              issuer ->
                  port.requestTokens(
                      issuer,
                      new TokenRequest.RetryTokens(service),
                      count,
                      grant -> onTokensGranted(count, grant.orElse(TokenGrant.NONE).granted())),
              () -> onTokensGranted(count, issue(count)));
    }

    private void onTokensGranted(int requested, int grantedCount) {
      waiters.completeBatch(requested, grantedCount);
      requestTokens();
    }
  }

  public RetryBudgets(
      CoreContext context, RetryLimit limit, HostDirectory directory, TokenPort port) {
    this.context = context;
    this.limit = limit;
    this.directory = directory;
    this.port = port;
  }

  public void recordRequest(ServiceName service) {
    budget(service).local.recordRequest(context.now());
  }

  /** Takes one retry; {@code callback} receives, at once or later, whether it was granted. */
  public void acquire(ServiceName service, Consumer<Boolean> callback) {
    Budget budget = budget(service);
    if (budget.tryAcquireLocal()) {
      callback.accept(true);
      return;
    }
    budget.waiters.add(callback);
    budget.requestTokens();
  }

  /** Grants retries to a host of this data centre; returns how many of {@code count}. */
  public int issue(ServiceName service, int count) {
    return budget(service).issue(count);
  }

  /**
   * Grants retries to a host of another data centre, unless another host issues them for this one;
   * returns how many of {@code count}.
   */
  public int issueElsewhere(ServiceName service, int count) {
    return directory.issuer(context.now()).isEmpty() ? issue(service, count) : 0;
  }

  /** Lends unused retries of this host's share; returns how many of {@code count}. */
  public int lend(ServiceName service, int count) {
    return budget(service).lend(count);
  }

  private Budget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, Budget::new);
  }
}
