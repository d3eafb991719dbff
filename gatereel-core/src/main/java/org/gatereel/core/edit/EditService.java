package org.gatereel.core.edit;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.platform.PlatformPort;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.platform.TableWrite;
import org.gatereel.core.platform.TransactionResult;
import org.gatereel.core.table.InvalidEditException;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowChange;
import org.gatereel.core.table.TableEdit;

/**
 * Commits the edits of operators.
 *
 * <p>An edit is one transaction that increments the table's revision and stores the edit's id. It
 * is accepted when the commit is known, from the result of the transaction or by reading the edit's
 * id back. An edit that conflicts with another edit of the same row is rejected; one that conflicts
 * with an edit of another row is retried at the new revision.
 */
public final class EditService {
  private static final long EDIT_TIMEOUT_MILLIS = 4_000;
  private static final long RETRY_DELAY_MILLIS = 100;
  private static final long MAX_CONFLICT_DELAY_MILLIS = 40;
  private static final long OPERATOR_RETRY_DELAY_MILLIS = 2_000;

  private final CoreContext context;
  private final PolicyTable table;
  private final PlatformPort platform;
  private final RevisionSynchronizer revisions;
  private final Set<Long> waitingOperators = new HashSet<>();

  public EditService(
      CoreContext context,
      PolicyTable table,
      PlatformPort platform,
      RevisionSynchronizer revisions) {
    this.context = context;
    this.table = table;
    this.platform = platform;
    this.revisions = revisions;
  }

  /** An edit that is not yet accepted or rejected. */
  private final class PendingEdit {
    private final Event.EditRequested request;
    private final long deadline = context.now() + EDIT_TIMEOUT_MILLIS;
    private boolean mayHaveCommitted;

    private PendingEdit(Event.EditRequested request) {
      this.request = request;
    }

    private RowChange change() {
      return request.change();
    }

    private void tryCommit() {
      long revisionOfRow = table.row(change().key()).map(Row::revision).orElse(0L);
      if (previouslyAccepted().isPresent()) {
        confirm(previouslyAccepted().get());
        return;
      }
      if (revisionOfRow != change().basedOn()) {
        reportLostRace();
        return;
      }
      try {
        Row row = table.preview(change());
        TableEdit edit =
            new TableEdit(row, request.editId(), request.operator(), request.wallClockMillis());
        platform.transact(writes(edit), result -> handleTransactionResult(edit, result));
      } catch (InvalidEditException e) {
        reject(Problem.notRun(ProblemType.INVALID_EDIT, e.getMessage()));
      }
    }

    private Optional<TableEdit> previouslyAccepted() {
      return table
          .latestEdit(change().key())
          .filter(edit -> edit.editId().equals(request.editId()));
    }

    private List<TableWrite> writes(TableEdit edit) {
      String encodedEdit = TableEditCodec.encode(edit);
      String nextRevision = Long.toString(edit.revision());
      long previousRevision = edit.revision() - 1;
      return List.of(
          previousRevision == 0
              ? TableWrite.insert(TableKeys.REVISION, nextRevision)
              : TableWrite.replace(
                  TableKeys.REVISION, Long.toString(previousRevision), nextRevision),
          TableWrite.insert(TableKeys.edit(request.editId()), nextRevision),
          TableWrite.insert(TableKeys.history(edit.revision()), encodedEdit),
          table
              .latestEdit(change().key())
              .map(
                  latest ->
                      TableWrite.replace(
                          TableKeys.row(change().key()),
                          TableEditCodec.encode(latest),
                          encodedEdit))
              .orElseGet(() -> TableWrite.insert(TableKeys.row(change().key()), encodedEdit)));
    }

    private void handleTransactionResult(TableEdit edit, TransactionResult result) {
      if (result instanceof TransactionResult.Committed) {
        handleAccepted(edit);
      } else if (result instanceof TransactionResult.Conflict conflict) {
        String acceptedRevision = conflict.present().get(TableKeys.edit(request.editId()));
        if (acceptedRevision != null) {
          readAccepted(Long.parseLong(acceptedRevision));
        } else {
          // Another edit was committed first: apply it, then check whether it changed this row.
          refreshThen(MAX_CONFLICT_DELAY_MILLIS);
        }
      } else if (result instanceof TransactionResult.Unknown) {
        mayHaveCommitted = true;
        context.logEvent(EventCode.EDIT_UNKNOWN, request.editId(), "");
        scheduleOrFail(RETRY_DELAY_MILLIS, this::readBack);
      } else {
        scheduleOrFail(RETRY_DELAY_MILLIS, this::tryCommit);
      }
    }

    private void handleAccepted(TableEdit edit) {
      if (table.revision() < edit.revision()) {
        revisions.applyEdits(List.of(edit));
      }
      confirm(edit);
    }

    private void readBack() {
      platform.read(List.of(TableKeys.edit(request.editId())), this::handleReadBack);
    }

    private void handleReadBack(ReadResult result) {
      if (!(result instanceof ReadResult.Rows rows)) {
        scheduleOrFail(RETRY_DELAY_MILLIS, this::readBack);
        return;
      }
      String acceptedRevision = rows.rows().get(TableKeys.edit(request.editId()));
      if (acceptedRevision != null) {
        readAccepted(Long.parseLong(acceptedRevision));
      } else {
        // The write may still take effect; a retry is safe as an edit id takes effect only once.
        refreshThen(MAX_CONFLICT_DELAY_MILLIS);
      }
    }

    private void readAccepted(long revision) {
      String key = TableKeys.history(revision);
      platform.read(
          List.of(key),
          result -> {
            String encodedEdit =
                result instanceof ReadResult.Rows rows ? rows.rows().get(key) : null;
            if (encodedEdit == null) {
              scheduleOrFail(RETRY_DELAY_MILLIS, () -> readAccepted(revision));
              return;
            }
            try {
              TableEdit edit = TableEditCodec.decode(encodedEdit);
              revisions.refresh(() -> handleAccepted(edit));
            } catch (MalformedEditException e) {
              reject(
                  new Problem(
                      ProblemType.INTERNAL, Outcome.UNKNOWN, "the stored edit is damaged", 0));
            }
          });
    }

    private void refreshThen(long maxDelayMillis) {
      revisions.refresh(
          () -> scheduleOrFail(1 + context.random().nextLong(maxDelayMillis), this::tryCommit));
    }

    private void scheduleOrFail(long delayMillis, Runnable task) {
      if (context.now() + delayMillis <= deadline) {
        context.schedule(delayMillis, task);
      } else if (mayHaveCommitted) {
        String detail = "send the same edit id again: " + request.editId();
        reject(
            new Problem(
                ProblemType.EDIT_OUTCOME_UNKNOWN,
                Outcome.UNKNOWN,
                detail,
                OPERATOR_RETRY_DELAY_MILLIS));
      } else {
        reject(
            Problem.notRun(
                ProblemType.PLATFORM_UNAVAILABLE,
                "the edit was not accepted",
                OPERATOR_RETRY_DELAY_MILLIS));
      }
    }

    private void reportLostRace() {
      context.logEvent(EventCode.EDIT_REFUSED, request.editId(), "lost race on " + change().key());
      if (waitingOperators.remove(request.caller())) {
        Optional<TableEdit> present = table.latestEdit(change().key());
        if (present.isPresent()) {
          context.emit(new Action.ReportLostRace(request.caller(), present.get()));
        } else {
          String detail = "there is no row " + change().key();
          context.emit(
              new Action.SendProblem(
                  request.caller(), Problem.notRun(ProblemType.UNKNOWN_ROW, detail)));
        }
      }
    }

    private void reject(Problem problem) {
      context.logEvent(
          EventCode.EDIT_REFUSED, request.editId(), problem.type() + ": " + problem.detail());
      if (waitingOperators.remove(request.caller())) {
        context.emit(new Action.SendProblem(request.caller(), problem));
      }
    }

    private void confirm(TableEdit edit) {
      context.logEvent(
          EventCode.EDIT_ACCEPTED, request.editId(), edit.row().key() + " at " + edit.revision());
      if (waitingOperators.remove(request.caller())) {
        context.emit(new Action.ConfirmEdit(request.caller(), edit));
      }
    }
  }

  public void handleRequest(Event.EditRequested event) {
    waitingOperators.add(event.caller());
    PendingEdit pending = new PendingEdit(event);
    boolean outdated = event.change().basedOn() > table.revision() || table.revision() == 0;
    if (outdated) {
      revisions.refresh(pending::tryCommit);
    } else {
      pending.tryCommit();
    }
  }

  /** Detaches a disconnected operator; the edit continues. Returns whether an edit was pending. */
  public boolean handleCallerDisconnected(long caller) {
    return waitingOperators.remove(caller);
  }

  /** Returns the number of operators that wait for an edit. */
  public int openCount() {
    return waitingOperators.size();
  }
}
