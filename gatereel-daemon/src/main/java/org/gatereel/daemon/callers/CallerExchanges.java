package org.gatereel.daemon.callers;

import io.jooby.Context;
import io.jooby.MediaType;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.ProblemType;

/** The open exchanges with callers and operators, by caller number. */
public final class CallerExchanges implements AutoCloseable {
  private static final int OK = 200;

  private final Map<Long, CallerExchange> exchanges = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();
  private final int maxBufferedBytes;
  private final Consumer<Event> eventSink;

  public CallerExchanges(int maxBufferedBytes, Consumer<Event> eventSink) {
    this.maxBufferedBytes = maxBufferedBytes;
    this.eventSink = eventSink;
  }

  /** Registers a request under a new caller number and sends the event for it to the core. */
  Context accept(Context context, LongFunction<Event> event) throws Exception {
    return context.detach(
        detached -> {
          long caller = lastNumber.incrementAndGet();
          exchanges.put(
              caller, new CallerExchange(detached, maxBufferedBytes, () -> onDisconnect(caller)));
          eventSink.accept(event.apply(caller));
          return detached;
        });
  }

  private void onDisconnect(long caller) {
    if (exchanges.remove(caller) != null) {
      eventSink.accept(new Event.CallerDisconnected(caller));
    }
  }

  /** Executes an action on the exchange of a caller, if it is still open. */
  public void execute(Action action) {
    if (action instanceof Action.OpenStream opened) {
      CallerExchange exchange = exchanges.get(opened.caller());
      if (exchange != null) {
        exchange.openStream(opened.id());
      }
    } else if (action instanceof Action.EndStream end) {
      finish(end.caller(), exchange -> exchange.sendEnd(end.id()));
    } else if (action instanceof Action.SendProblem sent) {
      finish(sent.caller(), exchange -> exchange.sendProblem(sent.problem()));
    } else if (action instanceof Action.Disconnect disconnect) {
      finish(disconnect.caller(), exchange -> exchange.disconnect(ProblemType.SUPERSEDED));
    } else if (action instanceof Action.SendResponse response) {
      byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
      finish(
          response.caller(),
          exchange -> exchange.respond(response.status(), MediaType.octetStream, body));
    } else if (action instanceof Action.ConfirmEdit confirm) {
      byte[] body = ProblemDocument.json(confirm.edit());
      finish(confirm.caller(), exchange -> exchange.respond(OK, MediaType.json, body));
    } else if (action instanceof Action.ReportLostRace lost) {
      finish(lost.caller(), exchange -> EditConflict.send(exchange, lost.present()));
    }
  }

  private void finish(long caller, Consumer<CallerExchange> lastAction) {
    CallerExchange exchange = exchanges.remove(caller);
    if (exchange != null) {
      lastAction.accept(exchange);
    }
  }

  /** Sends a token to a caller, if its exchange is still open. */
  public void sendToken(Action.SendToken send) {
    CallerExchange exchange = exchanges.get(send.caller());
    if (exchange != null) {
      exchange.sendToken(send.id(), send.token());
    }
  }

  /** Returns the number of open requests. */
  public int size() {
    return exchanges.size();
  }

  @Override
  public void close() {
    exchanges.values().forEach(exchange -> exchange.disconnect(ProblemType.DRAINING));
    exchanges.clear();
  }
}
