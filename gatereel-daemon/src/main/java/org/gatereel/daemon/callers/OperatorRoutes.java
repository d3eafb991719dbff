package org.gatereel.daemon.callers;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.Route;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.gatereel.core.edit.TableHistory;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.table.InvalidEditException;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowChange;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;
import org.gatereel.core.table.TableEdit;
import org.gatereel.daemon.control.ControlLoop;
import org.gatereel.daemon.events.EventLog;
import org.gatereel.daemon.settings.Settings;

/** The routes of the administration API: the table, its history, the timeline and the status. */
final class OperatorRoutes {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;

  private final CallerExchanges exchanges;
  private final ControlLoop control;
  private final EventLog events;
  private final List<Settings.Operator> operators;
  private final HistoryReader history;
  private final Runnable drain;

  /** Reads the history rows after a revision from the platform. */
  interface HistoryReader {
    void read(long after, java.util.function.Consumer<ReadResult> callback);
  }

  private record Change(String editId, Long basedOn, Map<String, String> cells) {}

  private record Table(long revision, List<Row> rows) {}

  private record History(List<TableEdit> edits) {}

  private record Draining(boolean draining) {}

  OperatorRoutes(
      CallerExchanges exchanges,
      ControlLoop control,
      EventLog events,
      List<Settings.Operator> operators,
      HistoryReader history,
      Runnable drain) {
    this.exchanges = exchanges;
    this.control = control;
    this.events = events;
    this.operators = operators;
    this.history = history;
    this.drain = drain;
  }

  void route(Jooby application) {
    application.get("/admin/table", authenticated(this::table));
    application.get("/admin/table/{kind}/{name}", authenticated(this::row));
    application.put("/admin/table/{kind}/{name}", authenticated(context -> edit(context, false)));
    application.delete("/admin/table/{kind}/{name}", authenticated(context -> edit(context, true)));
    application.get("/admin/history", authenticated(this::history));
    application.get("/admin/status", authenticated(this::status));
    application.get("/admin/timeline", authenticated(this::timeline));
    application.post(
        "/admin/drain",
        authenticated(
            context -> {
              drain.run();
              return json(context, new Draining(true));
            }));
  }

  private Route.Handler authenticated(Route.Handler handler) {
    return context ->
        BearerKeys.findOperator(context, operators).isPresent()
            ? handler.apply(context)
            : ProblemDocument.send(
                context,
                Problem.notRun(ProblemType.UNKNOWN_OPERATOR, "send an operator's bearer key"));
  }

  private static Context json(Context context, Object value) {
    context.setResponseCode(OK);
    context.setResponseType(MediaType.json);
    return context.send(ProblemDocument.json(value));
  }

  private static Object sendWhenComplete(Context context, CompletableFuture<?> result)
      throws Exception {
    return context.detach(
        detached -> {
          var unused = result.thenAccept(value -> json(detached, value));
          return detached;
        });
  }

  private Object table(Context context) throws Exception {
    return sendWhenComplete(
        context, control.query(core -> new Table(core.table().revision(), core.table().rows())));
  }

  private Object row(Context context) throws Exception {
    RowKey key;
    try {
      key = key(context);
    } catch (InvalidEditException e) {
      return rejectInvalidEdit(context, e);
    }
    CompletableFuture<Optional<Row>> found = control.query(core -> core.table().row(key));
    return context.detach(
        detached -> {
          var unused = found.thenAccept(row -> sendRow(detached, key, row));
          return detached;
        });
  }

  private static void sendRow(Context context, RowKey key, Optional<Row> row) {
    if (row.isPresent()) {
      json(context, row.get());
    } else {
      ProblemDocument.send(
          context, Problem.notRun(ProblemType.UNKNOWN_ROW, "there is no row " + key));
    }
  }

  private static RowKey key(Context context) throws InvalidEditException {
    return new RowKey(RowKind.of(context.path("kind").value()), context.path("name").value());
  }

  private static Object rejectInvalidEdit(Context context, InvalidEditException failure) {
    return ProblemDocument.send(
        context, Problem.notRun(ProblemType.INVALID_EDIT, failure.getMessage()));
  }

  private Object edit(Context context, boolean delete) throws Exception {
    Change change;
    RowKey key;
    try {
      change = MAPPER.readValue(context.body().value("{}"), Change.class);
      key = key(context);
    } catch (JsonProcessingException e) {
      return ProblemDocument.send(
          context, Problem.notRun(ProblemType.MALFORMED_BODY, e.getOriginalMessage()));
    } catch (InvalidEditException e) {
      return rejectInvalidEdit(context, e);
    }
    if (change.editId() == null || change.basedOn() == null) {
      String detail = "wanted: editId, basedOn (0 for a new row) and cells";
      return ProblemDocument.send(context, Problem.notRun(ProblemType.MALFORMED_BODY, detail));
    }
    Map<String, String> cells = change.cells() == null ? new TreeMap<>() : change.cells();
    RowChange rowChange = new RowChange(key, change.basedOn(), delete, cells);
    String operator = BearerKeys.findOperator(context, operators).orElseThrow();
    return exchanges.accept(
        context,
        caller ->
            new Event.EditRequested(
                caller, operator, change.editId(), rowChange, System.currentTimeMillis()));
  }

  private Object history(Context context) throws Exception {
    long after = context.query("after").longValue(0);
    return context.detach(
        detached -> {
          history.read(after, result -> sendHistory(detached, result));
          return detached;
        });
  }

  private static void sendHistory(Context context, ReadResult result) {
    if (result instanceof ReadResult.Rows rows) {
      List<TableEdit> edits =
          TableHistory.decode(rows.rows()).stream()
              .sorted(Comparator.comparingLong(TableEdit::revision))
              .toList();
      json(context, new History(edits));
    } else {
      ProblemDocument.send(
          context,
          Problem.notRun(
              ProblemType.PLATFORM_UNAVAILABLE, "the history is kept there only", 1_000));
    }
  }

  private Object status(Context context) throws Exception {
    return sendWhenComplete(context, control.query(core -> core.status()));
  }

  private Object timeline(Context context) {
    long since = context.query("since").longValue(0);
    String subject = context.query("subject").value("");
    return json(context, events.timeline(since, subject));
  }
}
