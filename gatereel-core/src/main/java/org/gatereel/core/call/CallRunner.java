package org.gatereel.core.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.admission.Admission;
import org.gatereel.core.admission.PendingRequest;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.Measurement;
import org.gatereel.core.event.PolicyVariant;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.generation.RequestPlacement;
import org.gatereel.core.generation.RetryBudgets;
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
 * Sends a plain call to a target, and retries it at other targets where that is allowed.
 *
 * <p>A call that may not be repeated is retried only if the failure proves that the target did not
 * execute it; a timeout or a broken connection after the first byte was sent proves nothing.
 */
final class CallRunner {
  private static final int MAX_ATTEMPTS = 4;
  private static final long RETRY_DELAY_MILLIS = 500;

  private final CoreContext context;
  private final PolicyTable table;
  private final TargetRegistry targets;
  private final Admission admission;
  private final RetryBudgets budgets;
  private final Runnable onTargetFreed;
  private final Map<Long, CallExecution> pendingByTicket = new HashMap<>();

  /** Receives the outcome of a call. */
  interface Listener {
    void onResponse(int status, String body);

    void onFailure(Problem problem);
  }

  CallRunner(
      CoreContext context,
      PolicyTable table,
      TargetRegistry targets,
      Admission admission,
      RetryBudgets budgets,
      Runnable targetFreed) {
    this.context = context;
    this.table = table;
    this.targets = targets;
    this.admission = admission;
    this.budgets = budgets;
    this.onTargetFreed = targetFreed;
  }

  /** A plain call of a client account. */
  record Call(AccountId account, ServiceName service, String executionId, String body) {}

  private final class CallExecution implements PendingRequest {
    private final Call call;
    private final boolean repeatable;
    private final int priority;
    private final Listener listener;
    private final Set<TargetId> triedTargets = new HashSet<>();
    private final long requestedAt = context.now();
    private Admission.Permit permit;
    private TargetState target;
    private boolean mayHaveExecuted;
    private int attempts;

    private CallExecution(Call call, boolean repeatable, int priority, Listener listener) {
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
      return targets.choose(
          call.service(),
          RequestPlacement.placementPolicy(service, PolicyVariant.FIRST),
          query,
          triedTargets);
    }

    private void send(TargetState chosen, Row service) {
      target = chosen;
      attempts++;
      TargetId id = chosen.description().id();
      triedTargets.add(id);
      targets.recordOpened(chosen);
      long ticket = context.nextTicket();
      pendingByTicket.put(ticket, this);
      context.emit(
          new Action.SendCall(
              ticket,
              chosen.description(),
              call.executionId(),
              call.body(),
              service.intValue(Column.CALL_TIMEOUT_MILLIS),
              priority));
      context.logEvent(EventCode.CALL_SENT, call.executionId(), id.value());
    }

    private void handleResponse(Event.CallResponseReceived event) {
      targets.recordResponse(target, event.load());
      closeTarget();
      context.logEvent(
          EventCode.CALL_ANSWERED, call.executionId(), target.description().id().value());
      context.measure(
          Measurement.CALL_MILLIS,
          call.service(),
          PolicyVariant.FIRST,
          context.now() - requestedAt);
      permit.close();
      listener.onResponse(event.status(), event.body());
      onTargetFreed.run();
    }

    private void handleFailure(TargetFailure failure) {
      mayHaveExecuted |= !failure.provesNotRun();
      context.logEvent(
          EventCode.CALL_FAILED, call.executionId(), target.description().id() + ": " + failure);
      closeTarget();
      targets.recordFailure(target, failure);
      boolean allowed = failure.provesNotRun() || repeatable;
      boolean retry =
          allowed && attempts < MAX_ATTEMPTS && budgets.forService(call.service()).tryAcquire();
      if (retry && tryStart(false)) {
        context.logEvent(EventCode.CALL_RETRIED, call.executionId(), "try " + attempts);
      } else {
        fail(failure);
      }
      onTargetFreed.run();
    }

    private void fail(TargetFailure failure) {
      permit.close();
      Outcome outcome = mayHaveExecuted ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      ProblemType type = mayHaveExecuted ? ProblemType.TARGET_FAILED : ProblemType.NO_TARGET;
      boolean canRetry = repeatable || !mayHaveExecuted;
      listener.onFailure(
          new Problem(
              type,
              outcome,
              target.description().id() + ": " + failure,
              canRetry ? RETRY_DELAY_MILLIS : 0));
    }

    private void closeTarget() {
      targets.recordClosed(target);
    }

    @Override
    public void reject(Problem problem) {
      context.logEvent(
          EventCode.REQUEST_REFUSED, call.executionId(), problem.type() + " for " + account());
      listener.onFailure(problem);
    }
  }

  /** Sends a call to a target once admission control admits it. */
  void execute(Call call, Row account, Row service, Listener listener) {
    boolean repeatable = service.booleanValue(Column.REPEATABLE);
    budgets.forService(call.service()).recordRequest(service.intValue(Column.RETRY_PERCENT));
    CallExecution execution =
        new CallExecution(call, repeatable, account.intValue(Column.PRIORITY), listener);
    execution.permit = admission.submit(execution, account, service);
  }

  void handleResponse(Event.CallResponseReceived event) {
    CallExecution execution = pendingByTicket.remove(event.ticket());
    if (execution != null) {
      execution.handleResponse(event);
    }
  }

  void handleFailure(Event.CallFailed event) {
    CallExecution execution = pendingByTicket.remove(event.ticket());
    if (execution != null) {
      execution.handleFailure(event.failure());
    }
  }

  int pendingCount() {
    return pendingByTicket.size();
  }
}
