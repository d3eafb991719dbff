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
 * Lets requests through to targets: limits by account, fair turns, and early refusal.
 *
 * <p>A request that would wait longer than its service's patience is refused at once, with the time
 * after which a turn is likely. A request that waited in vain is refused the moment its patience
 * ends.
 */
public final class Admission {
  private static final long SHORTEST_RETRY_MILLIS = 200;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final Map<ServiceName, Lane> lanes = new HashMap<>();
  private final ActiveAccounts accounts = new ActiveAccounts();

  public Admission(CoreContext context, TargetRegistry targets) {
    this.context = context;
    this.targets = targets;
  }

  /** One request's place; closing it gives the account's share back. */
  public final class Permit {
    private final Applicant applicant;
    private final Lane lane;
    private final long askedAt;
    private FairQueue.Entry<Permit> entry;
    private TimerQueue.Timer patience;
    private boolean closed;

    private Permit(Applicant applicant, Lane lane) {
      this.applicant = applicant;
      this.lane = lane;
      this.askedAt = context.now();
    }

    /** Ends the request, waiting or started; harmless when repeated. */
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      accounts.closed(applicant.account());
      stopWaiting();
    }

    private void stopWaiting() {
      if (entry != null) {
        lane.queue.remove(entry);
        patience.cancel();
        entry = null;
      }
    }

    private void refuse(Problem problem) {
      close();
      applicant.refuse(problem);
    }

    private void patienceEnded(long patienceMillis) {
      boolean anyTarget = !targets.usable(applicant.service()).isEmpty();
      ProblemType type = anyTarget ? ProblemType.OVERLOADED : ProblemType.NO_TARGET;
      long retry = Math.max(SHORTEST_RETRY_MILLIS, lane.expectedWait());
      refuse(Problem.notRun(type, "waited " + patienceMillis + " ms for a target", retry));
    }
  }

  /** The waiting requests of one service and how fast their turns come. */
  private static final class Lane {
    private static final double GAIN = 0.1;

    private final FairQueue<Permit> queue = new FairQueue<>();
    private double turnMillis;
    private long lastTurnAt;

    private void turnTaken(long now) {
      if (lastTurnAt > 0) {
        turnMillis += GAIN * (now - lastTurnAt - turnMillis);
      }
      lastTurnAt = now;
    }

    private long expectedWait() {
      return (long) (turnMillis * (queue.size() + 1));
    }
  }

  /** Starts a request, lets it wait, or refuses it; returns its permit. */
  public Permit apply(Applicant applicant, Row account, Row service) {
    Lane lane = lanes.computeIfAbsent(applicant.service(), name -> new Lane());
    Permit permit = new Permit(applicant, lane);
    int weight = account.intValue(Column.ACCOUNT_WEIGHT);
    int open = accounts.opened(applicant.account(), weight, context.now());
    if (open > account.intValue(Column.CONCURRENT_LIMIT)) {
      permit.refuse(
          Problem.notRun(
              ProblemType.ACCOUNT_LIMIT,
              "the limit is " + account.intValue(Column.CONCURRENT_LIMIT) + " open requests",
              Math.max(SHORTEST_RETRY_MILLIS, (long) lane.turnMillis)));
    } else if (lane.queue.size() > 0 || !start(permit)) {
      queue(permit, account, service);
    }
    return permit;
  }

  private boolean start(Permit permit) {
    boolean overShare = isOverShare(permit.applicant.account());
    if (!permit.applicant.tryStart(overShare)) {
      return false;
    }
    context.measure(
        Measurement.QUEUE_MILLIS,
        permit.applicant.service(),
        PolicyVariant.FIRST,
        context.now() - permit.askedAt);
    return true;
  }

  private void queue(Permit permit, Row account, Row service) {
    long patienceMillis = service.intValue(Column.PATIENCE_MILLIS);
    long expected = permit.lane.expectedWait();
    if (expected > patienceMillis) {
      String detail = "the wait would be about " + expected + " ms";
      permit.refuse(
          new Problem(ProblemType.OVERLOADED, Outcome.NOT_RUN, detail, expected - patienceMillis));
      return;
    }
    permit.patience = context.schedule(patienceMillis, () -> permit.patienceEnded(patienceMillis));
    permit.entry =
        permit.lane.queue.add(
            permit.applicant.account(),
            account.intValue(Column.ACCOUNT_WEIGHT),
            permit.applicant.cost(),
            permit);
    context.logEvent(
        EventCode.REQUEST_QUEUED,
        permit.applicant.account().value(),
        permit.applicant.service() + ", waiting: " + permit.lane.queue.size());
  }

  /** Returns whether an account has more than its share here while others are active. */
  public boolean isOverShare(AccountId account) {
    return accounts.isOverShare(account, context.now());
  }

  /** Starts waiting requests of every service while there are free targets. */
  public void dispatch() {
    lanes.values().forEach(this::dispatch);
  }

  private void dispatch(Lane lane) {
    while (true) {
      var head = lane.queue.peek();
      if (head.isEmpty() || !start(head.get())) {
        return;
      }
      Permit started = head.get();
      lane.queue.poll();
      lane.turnTaken(context.now());
      started.patience.cancel();
      started.entry = null;
    }
  }

  /** Returns how many requests wait, over all services. */
  public int waiting() {
    return lanes.values().stream().mapToInt(lane -> lane.queue.size()).sum();
  }
}
