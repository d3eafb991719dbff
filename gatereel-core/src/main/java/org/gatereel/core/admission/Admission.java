package org.gatereel.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.Measurement;
import org.gatereel.core.event.PolicyVariant;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.Row;
import org.gatereel.core.target.TargetRegistry;

/**
 * Admits requests to targets, with a limit of open requests per account and a fair queue per
 * service.
 *
 * <p>A request is rejected with a {@code Retry-After} time if it is expected to wait longer than
 * its service's queue timeout, or if that timeout ends before a target is free.
 */
public final class Admission {
  private static final long MIN_RETRY_AFTER_MILLIS = 200;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final Map<ServiceName, ServiceQueue> queues = new HashMap<>();
  private final ActiveAccounts accounts = new ActiveAccounts();

  public Admission(CoreContext context, TargetRegistry targets) {
    this.context = context;
    this.targets = targets;
  }

  /** A submitted request; it counts against its account's limit and share until it is closed. */
  public final class Permit {
    private final PendingRequest request;
    private final ServiceQueue queue;
    private final long submittedAt;
    private FairQueue.Entry<Permit> entry;
    private TimerQueue.Timer timeout;
    private boolean closed;

    private Permit(PendingRequest request, ServiceQueue queue) {
      this.request = request;
      this.queue = queue;
      this.submittedAt = context.now();
    }

    /** Ends the request, whether it waits or has started. Further calls have no effect. */
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      accounts.closed(request.account());
      stopWaiting();
    }

    private void stopWaiting() {
      if (entry != null) {
        queue.waiting.remove(entry);
        timeout.cancel();
        entry = null;
      }
    }

    private void reject(Problem problem) {
      close();
      request.reject(problem);
    }

    private void timedOut(long timeoutMillis) {
      boolean anyTarget = !targets.usable(request.service()).isEmpty();
      ProblemType type = anyTarget ? ProblemType.OVERLOADED : ProblemType.NO_TARGET;
      long retryAfter = Math.max(MIN_RETRY_AFTER_MILLIS, queue.expectedWaitMillis());
      reject(Problem.notRun(type, "waited " + timeoutMillis + " ms for a target", retryAfter));
    }
  }

  /** The waiting requests of one service and the mean time between their starts. */
  private static final class ServiceQueue {
    private static final double SMOOTHING_RATIO = 0.1;

    private final FairQueue<Permit> waiting = new FairQueue<>();
    private double startIntervalMillis;
    private long lastStartAt;

    private void recordStart(long now) {
      if (lastStartAt > 0) {
        startIntervalMillis += SMOOTHING_RATIO * (now - lastStartAt - startIntervalMillis);
      }
      lastStartAt = now;
    }

    private long expectedWaitMillis() {
      return (long) (startIntervalMillis * (waiting.size() + 1));
    }
  }

  /** Starts, queues or rejects a request; returns its permit. */
  public Permit submit(PendingRequest request, Row account, Row service) {
    ServiceQueue queue = queues.computeIfAbsent(request.service(), name -> new ServiceQueue());
    Permit permit = new Permit(request, queue);
    int weight = account.intValue(Column.ACCOUNT_WEIGHT);
    int open = accounts.opened(request.account(), weight, context.now());
    if (open > account.intValue(Column.CONCURRENT_LIMIT)) {
      permit.reject(
          Problem.notRun(
              ProblemType.ACCOUNT_LIMIT,
              "the limit is " + account.intValue(Column.CONCURRENT_LIMIT) + " open requests",
              Math.max(MIN_RETRY_AFTER_MILLIS, (long) queue.startIntervalMillis)));
    } else if (queue.waiting.size() > 0 || !start(permit)) {
      enqueue(permit, account, service);
    }
    return permit;
  }

  private boolean start(Permit permit) {
    boolean overShare = isOverShare(permit.request.account());
    if (!permit.request.tryStart(overShare)) {
      return false;
    }
    context.measure(
        Measurement.QUEUE_MILLIS,
        permit.request.service(),
        PolicyVariant.FIRST,
        context.now() - permit.submittedAt);
    return true;
  }

  private void enqueue(Permit permit, Row account, Row service) {
    long timeoutMillis = service.intValue(Column.PATIENCE_MILLIS);
    long expectedMillis = permit.queue.expectedWaitMillis();
    if (expectedMillis > timeoutMillis) {
      String detail = "the wait would be about " + expectedMillis + " ms";
      permit.reject(
          new Problem(
              ProblemType.OVERLOADED, Outcome.NOT_RUN, detail, expectedMillis - timeoutMillis));
      return;
    }
    permit.timeout = context.schedule(timeoutMillis, () -> permit.timedOut(timeoutMillis));
    permit.entry =
        permit.queue.waiting.add(
            permit.request.account(),
            account.intValue(Column.ACCOUNT_WEIGHT),
            permit.request.cost(),
            permit);
    context.logEvent(
        EventCode.REQUEST_QUEUED,
        permit.request.account().value(),
        permit.request.service() + ", waiting: " + permit.queue.waiting.size());
  }

  /** Returns whether an account has more than its share at this host while others are active. */
  public boolean isOverShare(AccountId account) {
    return accounts.isOverShare(account, context.now());
  }

  /** Starts waiting requests of all services while there are free targets. */
  public void dispatch() {
    queues.values().forEach(this::dispatch);
  }

  private void dispatch(ServiceQueue queue) {
    while (true) {
      var first = queue.waiting.peek();
      if (first.isEmpty() || !start(first.get())) {
        return;
      }
      Permit started = first.get();
      queue.waiting.poll();
      queue.recordStart(context.now());
      started.timeout.cancel();
      started.entry = null;
    }
  }

  /** Returns how many requests wait, over all services. */
  public int waitingRequests() {
    return queues.values().stream().mapToInt(queue -> queue.waiting.size()).sum();
  }
}
