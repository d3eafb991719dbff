package org.gatereel.core.generation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.admission.Admission;
import org.gatereel.core.admission.PendingRequest;
import org.gatereel.core.event.Arm;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
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

/** Takes in new generations from callers: checks them and has them admitted. */
public final class GenerationService {
  private static final int LAST_PRIORITY = 9;
  private static final int OVER_SHARE_BEHIND = 3;

  private final CoreContext context;
  private final PolicyTable table;
  private final TargetRegistry targets;
  private final Admission admission;
  private final GenerationOwner owner;
  private final ServiceBudgets budgets;
  private final Map<Long, Application> waiting = new HashMap<>();

  public GenerationService(
      CoreContext context,
      PolicyTable table,
      TargetRegistry targets,
      Admission admission,
      GenerationOwner owner,
      ServiceBudgets budgets) {
    this.context = context;
    this.table = table;
    this.targets = targets;
    this.admission = admission;
    this.owner = owner;
    this.budgets = budgets;
  }

  /** A generation that was asked for and has no target yet. */
  private final class Application implements PendingRequest {
    private final GenerationSpec spec;
    private final long caller;
    private final long askedAt = context.now();
    private Admission.Permit permit;
    private Optional<TargetState> started = Optional.empty();
    private Arm arm;

    private Application(GenerationSpec spec, long caller) {
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
      arm = Placements.arm(service.get(), spec.request());
      PlacementQuery query =
          new PlacementQuery(
              Placements.affinityKey(spec.prompt()), Optional.empty(), overShare, context.now());
      started =
          targets.choose(spec.service(), Placements.policy(service.get(), arm), query, Set.of());
      if (permit != null) {
        begin();
      }
      return started.isPresent();
    }

    private void begin() {
      if (started.isPresent()) {
        waiting.remove(caller);
        owner.start(spec, arm, caller, askedAt, permit, started.get());
      }
    }

    @Override
    public void reject(Problem problem) {
      waiting.remove(caller);
      context.emit(new Action.Refuse(caller, problem));
      context.note(
          EventCode.REQUEST_REFUSED,
          spec.request().value(),
          problem.type() + " for " + spec.account());
    }
  }

  /** Takes in a request for a generation. */
  public void requested(Event.GenerationRequested event) {
    Optional<Row> account = table.accountWithCredential(event.credential());
    Optional<Row> service =
        table
            .service(event.service())
            .filter(row -> row.choice(Column.KIND, ServiceKind.class) == ServiceKind.GENERATION);
    if (account.isEmpty()) {
      refuse(event, ProblemType.UNKNOWN_ACCOUNT, "no account has this key");
    } else if (service.isEmpty()) {
      refuse(event, ProblemType.UNKNOWN_SERVICE, "no generation service " + event.service());
    } else if (event.maximumTokens() > service.get().number(Column.MAXIMUM_TOKENS)) {
      String most = service.get().text(Column.MAXIMUM_TOKENS);
      refuse(event, ProblemType.MALFORMED_BODY, "maximumTokens may be " + most + " at most");
    } else {
      apply(event, account.get(), service.get());
    }
  }

  private void refuse(Event.GenerationRequested event, ProblemType type, String detail) {
    context.emit(new Action.Refuse(event.caller(), Problem.notRun(type, detail)));
    context.note(EventCode.REQUEST_REFUSED, event.service().value(), type.name());
  }

  private void apply(Event.GenerationRequested event, Row account, Row service) {
    AccountId accountId = new AccountId(account.key().name());
    int behind = admission.isOverShare(accountId) ? OVER_SHARE_BEHIND : 0;
    GenerationSpec spec =
        new GenerationSpec(
            new RequestId(Long.toHexString(context.random().nextLong())),
            accountId,
            event.service(),
            event.prompt(),
            event.maximumTokens(),
            Math.min(LAST_PRIORITY, account.number(Column.PRIORITY) + behind));
    Application application = new Application(spec, event.caller());
    budgets.of(event.service()).recordRequest(service.number(Column.RETRY_PERCENT));
    waiting.put(event.caller(), application);
    application.permit = admission.submit(application, account, service);
    application.begin();
  }

  /** Notes that a caller's connection ended; returns whether its request was waiting here. */
  public boolean callerGone(long caller) {
    Application application = waiting.remove(caller);
    if (application == null) {
      return false;
    }
    application.permit.close();
    return true;
  }
}
