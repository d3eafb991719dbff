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

/** Takes in plain calls from callers: those that may be repeated, and those that may not. */
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

  /** Tells one caller how its call ended, unless the caller has left. */
  private final class CallerResponder implements CallRunner.Listener {
    private final long caller;

    private CallerResponder(long caller) {
      this.caller = caller;
      waitingCallers.add(caller);
    }

    @Override
    public void onResponse(int status, String body) {
      if (waitingCallers.remove(caller)) {
        context.emit(new Action.Answer(caller, status, body));
      }
    }

    @Override
    public void onFailure(Problem problem) {
      if (waitingCallers.remove(caller)) {
        context.emit(new Action.Refuse(caller, problem));
      }
    }
  }

  /** Takes in a call. */
  public void handleRequest(Event.CallRequested event) {
    CallerResponder reply = new CallerResponder(event.caller());
    Optional<Row> account = table.accountWithCredential(event.credential());
    Optional<Row> service =
        table
            .service(event.service())
            .filter(row -> row.choice(Column.KIND, ServiceKind.class) == ServiceKind.CALL);
    if (account.isEmpty()) {
      reply.onFailure(
          problemBeforeClaim(event, ProblemType.UNKNOWN_ACCOUNT, "no account has this key"));
    } else if (service.isEmpty()) {
      reply.onFailure(
          problemBeforeClaim(
              event, ProblemType.UNKNOWN_SERVICE, "no call service " + event.service()));
    } else if (service.get().truth(Column.REPEATABLE)) {
      String id = event.idempotencyKey().orElseGet(() -> "r-" + context.random().nextLong());
      runner.execute(call(event, account.get(), id), account.get(), service.get(), reply);
    } else if (event.idempotencyKey().isEmpty()) {
      reply.onFailure(
          Problem.notRun(ProblemType.MISSING_IDEMPOTENCY_KEY, "service " + event.service()));
    } else {
      String id = account.get().key().name() + "/" + event.idempotencyKey().get();
      atMostOnceCalls.execute(call(event, account.get(), id), account.get(), service.get(), reply);
    }
  }

  /** A refusal before the claim was looked at: under the same key the call may have run before. */
  private static Problem problemBeforeClaim(
      Event.CallRequested event, ProblemType type, String detail) {
    Outcome outcome = event.idempotencyKey().isPresent() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    return new Problem(type, outcome, detail, 0);
  }

  private static CallRunner.Call call(Event.CallRequested event, Row account, String id) {
    return new CallRunner.Call(
        new AccountId(account.key().name()), event.service(), id, event.body());
  }

  /** Notes that a caller's connection ended; the call itself goes on. */
  public boolean handleCallerDisconnected(long caller) {
    return waitingCallers.remove(caller);
  }

  /** Takes in the answer of a target. */
  public void handleResponse(Event.CallAnswered event) {
    runner.handleResponse(event);
  }

  /** Takes in the failure of a target. */
  public void handleFailure(Event.CallFailed event) {
    runner.handleFailure(event);
  }

  /** Takes in what a peer says about claims and calls. */
  public void handlePeerMessage(HostId from, PeerMessage message) {
    atMostOnceCalls.handlePeerMessage(from, message);
  }

  /** Notes that a peer does not answer. */
  public void handlePeerUnreachable(HostId peer) {
    atMostOnceCalls.handlePeerUnreachable(peer);
  }

  /** Returns how many calls are open, with callers or at targets. */
  public int openCount() {
    return Math.max(waitingCallers.size(), runner.pendingCount());
  }
}
