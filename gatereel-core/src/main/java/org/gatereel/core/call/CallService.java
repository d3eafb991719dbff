package org.gatereel.core.call;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.admission.Admission;
import org.gatereel.core.event.Event;
import org.gatereel.core.generation.RetryBudgets;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.member.Membership;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.platform.PlatformPort;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.ServiceKind;
import org.gatereel.core.target.TargetRegistry;

/** Checks callers' plain calls and executes them, with or without an Idempotency-Key claim. */
public final class CallService {
  private final CoreContext context;
  private final PolicyTable table;
  private final CallRunner runner;
  private final AtMostOnceCalls atMostOnceCalls;
  private final Set<Long> waitingCallers = new HashSet<>();

  public CallService(
      CoreContext context,
      PolicyTable table,
      TargetRegistry targets,
      Membership members,
      Admission admission,
      RetryBudgets budgets,
      PlatformPort platform,
      Runnable targetFreed) {
    this.context = context;
    this.table = table;
    this.runner = new CallRunner(context, table, targets, admission, budgets, targetFreed);
    this.atMostOnceCalls = new AtMostOnceCalls(context, members, platform, runner);
  }

  /** Sends the outcome of a call to its caller, unless the caller has disconnected. */
  private final class CallerResponder implements CallRunner.Listener {
    private final long caller;

    private CallerResponder(long caller) {
      this.caller = caller;
      waitingCallers.add(caller);
    }

    @Override
    public void onResponse(int status, String body) {
      if (waitingCallers.remove(caller)) {
        context.emit(new Action.SendResponse(caller, status, body));
      }
    }

    @Override
    public void onFailure(Problem problem) {
      if (waitingCallers.remove(caller)) {
        context.emit(new Action.SendProblem(caller, problem));
      }
    }
  }

  public void handleRequest(Event.CallRequested event) {
    CallerResponder responder = new CallerResponder(event.caller());
    Optional<Row> account = table.accountWithCredential(event.credential());
    Optional<Row> service =
        table
            .service(event.service())
            .filter(row -> row.enumValue(Column.KIND, ServiceKind.class) == ServiceKind.CALL);
    if (account.isEmpty()) {
      responder.onFailure(
          problemBeforeClaim(event, ProblemType.UNKNOWN_ACCOUNT, "no account has this key"));
    } else if (service.isEmpty()) {
      responder.onFailure(
          problemBeforeClaim(
              event, ProblemType.UNKNOWN_SERVICE, "no call service " + event.service()));
    } else if (service.get().booleanValue(Column.REPEATABLE)) {
      String id = event.idempotencyKey().orElseGet(() -> "r-" + context.random().nextLong());
      runner.execute(call(event, account.get(), id), account.get(), service.get(), responder);
    } else if (event.idempotencyKey().isEmpty()) {
      responder.onFailure(
          Problem.notRun(ProblemType.MISSING_IDEMPOTENCY_KEY, "service " + event.service()));
    } else {
      String id = account.get().key().name() + "/" + event.idempotencyKey().get();
      atMostOnceCalls.execute(
          call(event, account.get(), id), account.get(), service.get(), responder);
    }
  }

  /** The outcome is unknown if there is a key: an earlier request with it may have executed. */
  private static Problem problemBeforeClaim(
      Event.CallRequested event, ProblemType type, String detail) {
    Outcome outcome = event.idempotencyKey().isPresent() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    return new Problem(type, outcome, detail, 0);
  }

  private static CallRunner.Call call(Event.CallRequested event, Row account, String id) {
    return new CallRunner.Call(
        new AccountId(account.key().name()), event.service(), id, event.body());
  }

  /** Detaches a disconnected caller; its call continues. Returns whether it waited for a call. */
  public boolean handleCallerDisconnected(long caller) {
    return waitingCallers.remove(caller);
  }

  public void handleResponse(Event.CallResponseReceived event) {
    runner.handleResponse(event);
  }

  public void handleFailure(Event.CallFailed event) {
    runner.handleFailure(event);
  }

  /** Handles a peer's message about a claim or the outcome of a call. */
  public void handlePeerMessage(HostId from, PeerMessage message) {
    atMostOnceCalls.handlePeerMessage(from, message);
  }

  public void handlePeerUnreachable(HostId peer) {
    atMostOnceCalls.handlePeerUnreachable(peer);
  }

  /** Returns the number of waiting callers or of calls at targets, whichever is greater. */
  public int openCount() {
    return Math.max(waitingCallers.size(), runner.pendingCount());
  }
}
