package org.gatereel.core.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.admission.Admission;
import org.gatereel.core.admission.PendingRequest;
import org.gatereel.core.event.Arm;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.Measurement;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.generation.Placements;
import org.gatereel.core.generation.ServiceBudgets;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.table.Row;
import org.gatereel.core.target.PlacementQuery;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Sends a plain call to a target, and to another one where that is allowed.
 *
 * <p>A call that may not be repeated is sent again only if the target that had it proved that it
 * did not run; after the first byte left, silence proves nothing.
 */
final class CallRunner {
  private static final int MOST_TRIES = 4;
  private static final long RETRY_AFTER_MILLIS = 500;

  private final CoreContext context;
  private final PolicyTable table;
  private final TargetRegistry targets;
  private final Admission admission;
  private final ServiceBudgets budgets;
  private final Runnable targetFreed;
  private final Map<Long, Run> running = new HashMap<>();

  /** Who wants to know how a call ended. */
  interface Listener {
    void answered(int status, String body);

    void failed(Problem problem);
  }

  CallRunner(
      CoreContext context,
      PolicyTable table,
      TargetRegistry targets,
      Admission admission,
      ServiceBudgets budgets,
      Runnable targetFreed) {
    this.context = context;
    this.table = table;
    this.targets = targets;
    this.admission = admission;
    this.budgets = budgets;
    this.targetFreed = targetFreed;
  }

  /** What is to be sent. */
  record Call(AccountId account, ServiceName service, String executionId, String body) {}

  private final class Run implements PendingRequest {
    private final Call call;
    private final boolean repeatable;
    private final int priority;
    private final Listener listener;
    private final Set<TargetId> tried = new HashSet<>();
    private final long askedAt = context.now();
    private Admission.Permit permit;
    private TargetState target;
    private boolean mayHaveRun;
    private int tries;

    private Run(Call call, boolean repeatable, int priority, Listener listener) {
      this.call = call;
      this.repeatable = repeatable;
      this.priority = priority;
      this.listener = listener;
    }

    @Override
    public AccountId account() {
      return call.account();
    }

    @Override
    public ServiceName service() {
      return call.service();
    }

    @Override
    public double cost() {
      return 1;
    }

    @Override
    public boolean tryStart(boolean overShare) {
      Optional<Row> service = table.service(call.service());
      Optional<TargetState> chosen = service.flatMap(row -> choose(row, overShare));
      chosen.ifPresent(state -> send(state, service.orElseThrow()));
      return chosen.isPresent();
    }

    private Optional<TargetState> choose(Row service, boolean overShare) {
      PlacementQuery query =
          new PlacementQuery(call.executionId(), Optional.empty(), overShare, context.now());
      return targets.choose(call.service(), Placements.policy(service, Arm.FIRST), query, tried);
    }

    private void send(TargetState chosen, Row service) {
      target = chosen;
      tries++;
      TargetId id = chosen.description().id();
      tried.add(id);
      targets.recordOpened(chosen);
      long ticket = context.nextTicket();
      running.put(ticket, this);
      context.emit(
          new Action.SendCall(
              ticket,
              chosen.description(),
              call.executionId(),
              call.body(),
              service.number(Column.CALL_TIMEOUT_MILLIS),
              priority));
      context.note(EventCode.CALL_SENT, call.executionId(), id.value());
    }

    private void answered(Event.CallAnswered event) {
      targets.recordResponse(target, event.load());
      closeTarget();
      context.note(EventCode.CALL_ANSWERED, call.executionId(), target.description().id().value());
      context.measure(Measurement.CALL_MILLIS, call.service(), Arm.FIRST, context.now() - askedAt);
      permit.close();
      listener.answered(event.status(), event.body());
      targetFreed.run();
    }

    private void failed(TargetFailure failure) {
      mayHaveRun |= !failure.provesNotRun();
      context.note(
          EventCode.CALL_FAILED, call.executionId(), target.description().id() + ": " + failure);
      closeTarget();
      targets.recordFailure(target, failure);
      boolean allowed = failure.provesNotRun() || repeatable;
      boolean again = allowed && tries < MOST_TRIES && budgets.of(call.service()).tryAcquire();
      if (again && tryStart(false)) {
        context.note(EventCode.CALL_RETRIED, call.executionId(), "try " + tries);
      } else {
        giveUp(failure);
      }
      targetFreed.run();
    }

    private void giveUp(TargetFailure failure) {
      permit.close();
      Outcome outcome = mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      ProblemType type = mayHaveRun ? ProblemType.TARGET_FAILED : ProblemType.NO_TARGET;
      boolean mayComeBack = repeatable || !mayHaveRun;
      listener.failed(
          new Problem(
              type,
              outcome,
              target.description().id() + ": " + failure,
              mayComeBack ? RETRY_AFTER_MILLIS : 0));
    }

    private void closeTarget() {
      targets.recordClosed(target);
    }

    @Override
    public void reject(Problem problem) {
      context.note(
          EventCode.REQUEST_REFUSED, call.executionId(), problem.type() + " for " + account());
      listener.failed(problem);
    }
  }

  /** Sends a call once a target is free for it. */
  void run(Call call, Row account, Row service, Listener listener) {
    boolean repeatable = service.truth(Column.REPEATABLE);
    budgets.of(call.service()).recordRequest(service.number(Column.RETRY_PERCENT));
    Run run = new Run(call, repeatable, account.number(Column.PRIORITY), listener);
    run.permit = admission.submit(run, account, service);
  }

  void answered(Event.CallAnswered event) {
    Run run = running.remove(event.ticket());
    if (run != null) {
      run.answered(event);
    }
  }

  void failed(Event.CallFailed event) {
    Run run = running.remove(event.ticket());
    if (run != null) {
      run.failed(event.failure());
    }
  }

  int size() {
    return running.size();
  }
}
