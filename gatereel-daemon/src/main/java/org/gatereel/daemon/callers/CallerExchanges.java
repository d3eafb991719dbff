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

/** The open requests of callers and operators, by number. */
public final class CallerExchanges implements AutoCloseable {
  private static final int OK = 200;

  private final Map<Long, CallerExchange> exchanges = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();
  private final int maxBufferedBytes;
  private final Consumer<Event> eventSink;

  public CallerExchanges(int mostWaitingBytes, Consumer<Event> inbox) {
    this.maxBufferedBytes = mostWaitingBytes;
    this.eventSink = inbox;
  }

  /** Takes in a request: gives it a number and passes the event for it on. */
  Context accept(Context context, LongFunction<Event> event) throws Exception {
    return context.detach(
        detached -> {
          long caller = lastNumber.incrementAndGet();
          exchanges.put(caller, new CallerExchange(detached, maxBufferedBytes, () -> onDisconnect(caller)));
          eventSink.accept(event.apply(caller));
          return detached;
        });
  }

  private void onDisconnect(long caller) {
    if (exchanges.remove(caller) != null) {
      eventSink.accept(new Event.CallerGone(caller));
    }
  }

  /** Carries out an action towards a caller; one that has left is passed over. */
  public void execute(Action action) {
    if (action instanceof Action.OpenStream opened) {
      CallerExchange exchange = exchanges.get(opened.caller());
      if (exchange != null) {
        exchange.openStream(opened.id());
      }
    } else if (action instanceof Action.EndStream end) {
      finish(end.caller(), exchange -> exchange.sendEnd(end.id()));
    } else if (action instanceof Action.Refuse refuse) {
      finish(refuse.caller(), exchange -> exchange.sendProblem(refuse.problem()));
    } else if (action instanceof Action.Disconnect disconnect) {
      finish(disconnect.caller(), exchange -> exchange.disconnect(ProblemType.SUPERSEDED));
    } else if (action instanceof Action.Answer answer) {
      byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
      finish(
          answer.caller(),
          exchange -> exchange.respond(answer.status(), MediaType.octetStream, body));
    } else if (action instanceof Action.ConfirmEdit confirm) {
      byte[] body = ProblemDocument.json(confirm.edit());
      finish(confirm.caller(), exchange -> exchange.respond(OK, MediaType.json, body));
    } else if (action instanceof Action.ReportLostRace lost) {
      finish(lost.caller(), exchange -> EditConflict.send(exchange, lost.present()));
    }
  }

  private void finish(long caller, Consumer<CallerExchange> last) {
    CallerExchange exchange = exchanges.remove(caller);
    if (exchange != null) {
      last.accept(exchange);
    }
  }

  /** Gives a caller a token. */
  public void sendToken(Action.SendToken send) {
    CallerExchange exchange = exchanges.get(send.caller());
    if (exchange != null) {
      exchange.sendToken(send.id(), send.token());
    }
  }

  /** Returns how many requests are open. */
  public int size() {
    return exchanges.size();
  }

  @Override
  public void close() {
    exchanges.values().forEach(exchange -> exchange.disconnect(ProblemType.DRAINING));
    exchanges.clear();
  }
}
