package org.gatereel.core.generation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.admission.Admission;
import org.gatereel.core.admission.PendingRequest;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.PolicyVariant;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.ServiceKind;
import org.gatereel.core.target.PlacementQuery;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/** Checks callers' requests for new generations and passes them to admission control. */
public final class GenerationService {
  private static final int LOWEST_PRIORITY = 9;
  private static final int OVER_SHARE_PRIORITY_PENALTY = 3;

  private final CoreContext context;
  private final PolicyTable table;
  private final TargetRegistry targets;
  private final Admission admission;
  private final GenerationOwner owner;
  private final RetryBudgets budgets;
  private final Map<Long, PendingGeneration> pendingByCaller = new HashMap<>();

  public GenerationService(
      CoreContext context,
      PolicyTable table,
      TargetRegistry targets,
      Admission admission,
      GenerationOwner owner,
      RetryBudgets budgets) {
    this.context = context;
    this.table = table;
    this.targets = targets;
    this.admission = admission;
    this.owner = owner;
    this.budgets = budgets;
  }

  /** A requested generation that has no target yet. */
  private final class PendingGeneration implements PendingRequest {
    private final GenerationSpec spec;
    private final long caller;
    private final long requestedAt = context.now();
    private Admission.Permit permit;
    private Optional<TargetState> chosenTarget = Optional.empty();
    private PolicyVariant variant;

    private PendingGeneration(GenerationSpec spec, long caller) {
      this.spec = spec;
      this.caller = caller;
    }

    @Override
    public AccountId account() {
      return spec.account();
    }

    @Override
    public ServiceName service() {
      return spec.service();
    }

    @Override
    public double cost() {
      return spec.maximumTokens();
    }

    @Override
    public boolean tryStart(boolean overShare) {
      Optional<Row> service = table.service(spec.service());
      if (service.isEmpty()) {
        return false;
      }
      variant = RequestPlacement.variant(service.get(), spec.request());
      PlacementQuery query =
          new PlacementQuery(
              RequestPlacement.affinityKey(spec.prompt()),
              Optional.empty(),
              overShare,
              context.now());
      chosenTarget =
          targets.choose(
              spec.service(),
              RequestPlacement.placementPolicy(service.get(), variant),
              query,
              Set.of());
      if (permit != null) {
        startIfChosen();
      }
      return chosenTarget.isPresent();
    }

    private void startIfChosen() {
      if (chosenTarget.isPresent()) {
        pendingByCaller.remove(caller);
        owner.start(spec, variant, caller, requestedAt, permit, chosenTarget.get());
      }
    }

    @Override
    public void reject(Problem problem) {
      pendingByCaller.remove(caller);
      context.emit(new Action.SendProblem(caller, problem));
      context.logEvent(
          EventCode.REQUEST_REFUSED,
          spec.request().value(),
          problem.type() + " for " + spec.account());
    }
  }

  public void handleRequest(Event.GenerationRequested event) {
    Optional<Row> account = table.accountWithCredential(event.credential());
    Optional<Row> service =
        table
            .service(event.service())
            .filter(row -> row.enumValue(Column.KIND, ServiceKind.class) == ServiceKind.GENERATION);
    if (account.isEmpty()) {
      reject(event, ProblemType.UNKNOWN_ACCOUNT, "no account has this key");
    } else if (service.isEmpty()) {
      reject(event, ProblemType.UNKNOWN_SERVICE, "no generation service " + event.service());
    } else if (event.maximumTokens() > service.get().intValue(Column.MAXIMUM_TOKENS)) {
      String maximum = service.get().text(Column.MAXIMUM_TOKENS);
      reject(event, ProblemType.MALFORMED_BODY, "maximumTokens may be " + maximum + " at most");
    } else {
      admit(event, account.get(), service.get());
    }
  }

  private void reject(Event.GenerationRequested event, ProblemType type, String detail) {
    context.emit(new Action.SendProblem(event.caller(), Problem.notRun(type, detail)));
    context.logEvent(EventCode.REQUEST_REFUSED, event.service().value(), type.name());
  }

  private void admit(Event.GenerationRequested event, Row account, Row service) {
    AccountId accountId = new AccountId(account.key().name());
    int priorityPenalty = admission.isOverShare(accountId) ? OVER_SHARE_PRIORITY_PENALTY : 0;
    GenerationSpec spec =
        new GenerationSpec(
            new RequestId(Long.toHexString(context.random().nextLong())),
            accountId,
            event.service(),
            event.prompt(),
            event.maximumTokens(),
            Math.min(LOWEST_PRIORITY, account.intValue(Column.PRIORITY) + priorityPenalty));
    PendingGeneration pending = new PendingGeneration(spec, event.caller());
    budgets.forService(event.service()).recordRequest(service.intValue(Column.RETRY_PERCENT));
    pendingByCaller.put(event.caller(), pending);
    pending.permit = admission.submit(pending, account, service);
    pending.startIfChosen();
  }

  /** Removes the request of a disconnected caller; returns whether it was pending. */
  public boolean handleCallerDisconnected(long caller) {
    PendingGeneration pending = pendingByCaller.remove(caller);
    if (pending == null) {
      return false;
    }
    pending.permit.close();
    return true;
  }
}
