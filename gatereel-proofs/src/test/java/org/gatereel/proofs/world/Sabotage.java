package org.gatereel.proofs.world;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.platform.TransactionResult;

/** Deliberately broken hosts, to see that the oracle notices. */
public enum Sabotage {
  NONE,
  /** Leaves out one token. */
  SKIPS_TOKENS {
    @Override
    List<Action> change(Action action) {
      boolean skipped = action instanceof Action.SendToken send && send.id().offset() == 5;
      return skipped ? List.of() : List.of(action);
    }
  },
  /** Resumes with a prefix that is not what the caller has. */
  RESUMES_WITH_OTHER_PREFIX {
    @Override
    List<Action> change(Action action) {
      if (action instanceof Action.StartAttempt start && !start.tokens().isEmpty()) {
        List<String> tokens = new ArrayList<>(start.tokens());
        tokens.set(0, "somebody-else:0");
        return List.of(
            new Action.StartAttempt(start.spec(), start.attempt(), start.target(), tokens));
      }
      return List.of(action);
    }
  },
  /** Gives a caller the answer to something else. */
  ANSWERS_WITH_ANOTHER_BODY {
    @Override
    List<Action> change(Action action) {
      return action instanceof Action.SendResponse answer
          ? List.of(new Action.SendResponse(answer.caller(), answer.status(), "ran another"))
          : List.of(action);
    }
  },
  /** Calls every refusal "not run". */
  SAYS_NOT_RUN {
    @Override
    List<Action> change(Action action) {
      if (action instanceof Action.SendProblem refuse) {
        Problem told = refuse.problem();
        Problem changed = new Problem(told.type(), Outcome.NOT_RUN, told.detail(), 0);
        return List.of(new Action.SendProblem(refuse.caller(), changed));
      }
      return List.of(action);
    }
  },
  /** Takes every claim for granted. */
  IGNORES_CLAIMS {
    @Override
    Event change(Event event) {
      return event instanceof Event.TransactionEnded ended
          ? new Event.TransactionEnded(ended.ticket(), new TransactionResult.Committed())
          : event;
    }
  },
  /** Takes leaving targets for live ones. */
  IGNORES_LEAVING {
    @Override
    Event change(Event event) {
      if (!(event instanceof Event.HostListReceived seen)) {
        return event;
      }
      List<TargetDescription> targets =
          seen.list().targets().stream()
              .map(
                  target ->
                      new TargetDescription(
                          target.id(),
                          target.kind(),
                          target.service(),
                          target.dataCentre(),
                          target.address(),
                          target.slots(),
                          LifeState.LIVE))
              .toList();
      return new Event.HostListReceived(
          new HostList(seen.list().version(), seen.list().hosts(), targets));
    }
  },
  /** Cuts its callers off when it is to stop. */
  CUTS_CALLERS_WHEN_DRAINING {
    @Override
    List<Action> change(Action action) {
      boolean draining =
          action instanceof Action.LogEvent note
              && note.code() == org.gatereel.core.event.EventCode.HOST_DRAINING;
      return draining ? List.of(action, new Action.Disconnect(1)) : List.of(action);
    }
  },
  /** Confirms edits that lost. */
  CONFIRMS_LOST_EDITS {
    @Override
    List<Action> change(Action action) {
      return action instanceof Action.ReportLostRace lost
          ? List.of(new Action.ConfirmEdit(lost.caller(), inventEdit(lost)))
          : List.of(action);
    }
  };

  private static org.gatereel.core.table.TableEdit inventEdit(Action.ReportLostRace lost) {
    return new org.gatereel.core.table.TableEdit(
        lost.present().row(), "an edit that lost", "operator", 0);
  }

  List<Action> change(Action action) {
    return List.of(action);
  }

  Event change(Event event) {
    return event;
  }
}
