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
public final class Exchanges implements AutoCloseable {
  private static final int OK = 200;

  private final Map<Long, Exchange> open = new ConcurrentHashMap<>();
  private final AtomicLong numbers = new AtomicLong();
  private final int mostWaitingBytes;
  private final Consumer<Event> inbox;

  public Exchanges(int mostWaitingBytes, Consumer<Event> inbox) {
    this.mostWaitingBytes = mostWaitingBytes;
    this.inbox = inbox;
  }

  /** Takes in a request: gives it a number and passes the event for it on. */
  Context take(Context context, LongFunction<Event> event) throws Exception {
    return context.detach(
        detached -> {
          long caller = numbers.incrementAndGet();
          open.put(caller, new Exchange(detached, mostWaitingBytes, () -> gone(caller)));
          inbox.accept(event.apply(caller));
          return detached;
        });
  }

  private void gone(long caller) {
    if (open.remove(caller) != null) {
      inbox.accept(new Event.CallerDisconnected(caller));
    }
  }

  /** Carries out an action towards a caller; one that has left is passed over. */
  public void run(Action action) {
    if (action instanceof Action.OpenStream opened) {
      Exchange exchange = open.get(opened.caller());
      if (exchange != null) {
        exchange.open(opened.id());
      }
    } else if (action instanceof Action.EndStream end) {
      end(end.caller(), exchange -> exchange.end(end.id()));
    } else if (action instanceof Action.SendProblem refuse) {
      end(refuse.caller(), exchange -> exchange.refuse(refuse.problem()));
    } else if (action instanceof Action.Disconnect disconnect) {
      end(disconnect.caller(), exchange -> exchange.disconnect(ProblemType.SUPERSEDED));
    } else if (action instanceof Action.SendResponse answer) {
      byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
      end(
          answer.caller(),
          exchange -> exchange.answer(answer.status(), MediaType.octetStream, body));
    } else if (action instanceof Action.ConfirmEdit confirm) {
      byte[] body = ProblemDocument.json(confirm.edit());
      end(confirm.caller(), exchange -> exchange.answer(OK, MediaType.json, body));
    } else if (action instanceof Action.ReportLostRace lost) {
      end(lost.caller(), exchange -> LostRace.answer(exchange, lost.present()));
    }
  }

  private void end(long caller, Consumer<Exchange> last) {
    Exchange exchange = open.remove(caller);
    if (exchange != null) {
      last.accept(exchange);
    }
  }

  /** Gives a caller a token. */
  public void sendToken(Action.SendToken send) {
    Exchange exchange = open.get(send.caller());
    if (exchange != null) {
      exchange.token(send.id(), send.token());
    }
  }

  /** Returns how many requests are open. */
  public int size() {
    return open.size();
  }

  @Override
  public void close() {
    open.values().forEach(exchange -> exchange.disconnect(ProblemType.DRAINING));
    open.clear();
  }
}
