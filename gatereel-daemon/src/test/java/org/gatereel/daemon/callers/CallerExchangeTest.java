package org.gatereel.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jooby.Context;
import io.jooby.Route;
import io.jooby.Sender;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.generation.EventId;
import org.gatereel.core.model.ProblemType;
import org.junit.jupiter.api.Test;

class CallerExchangeTest {
  private static final String ID = "1~df4d7a8a0ca3c3ab~entry-1~-~none~1000~1~0~9e3779b97f4a7c15";

  private final List<String> bodies = new ArrayList<>();

  /** Returns a context that records the bodies sent to it. */
  private Context context() {
    return (Context)
        Proxy.newProxyInstance(
            Context.class.getClassLoader(),
            new Class<?>[] {Context.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("send") && arguments[0] instanceof byte[] body) {
                bodies.add(new String(body, StandardCharsets.UTF_8));
              }
              return switch (method.getName()) {
                case "responseSender" -> sender();
                case "detach" -> ((Route.Handler) arguments[0]).apply((Context) proxy);
                default -> proxy;
              };
            });
  }

  /** Returns a sender that records the events written to it. */
  private Sender sender() {
    return (Sender)
        Proxy.newProxyInstance(
            Sender.class.getClassLoader(),
            new Class<?>[] {Sender.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("write") && arguments[0] instanceof byte[] event) {
                bodies.add(new String(event, StandardCharsets.UTF_8));
              }
              return method.getName().equals("write") ? proxy : null;
            });
  }

  @Test
  void disconnectBeforeTheResponseHasUnknownOutcome() {
    new CallerExchange(context(), 1_000, () -> {}).disconnect(ProblemType.DRAINING);
    assertTrue(bodies.get(0).contains("\"outcome\":\"UNKNOWN\""), bodies.toString());
  }

  @Test
  void closeSendsAProblemOnOpenStreams() throws Exception {
    // Without a final event, the framing of the stream would mark it as complete.
    try (CallerExchanges exchanges = new CallerExchanges(1_000_000, event -> {})) {
      exchanges.accept(context(), caller -> new Event.CallerDisconnected(caller));
      exchanges.execute(new Action.OpenStream(1, EventId.parse(ID)));
    }
    assertEquals(2, bodies.size(), bodies.toString());
    assertTrue(bodies.get(1).startsWith("event: problem\n"), bodies.toString());
    assertTrue(bodies.get(1).contains("/problems/draining"), bodies.toString());
  }
}
