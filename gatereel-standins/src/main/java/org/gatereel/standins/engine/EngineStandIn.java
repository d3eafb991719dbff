package org.gatereel.standins.engine;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.Sender;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.gatereel.standins.Control;
import org.gatereel.standins.StandInServer;

/** Stands in for a model engine. */
public final class EngineStandIn implements AutoCloseable {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final EngineBatch batch;
  private final CacheEvents cacheEvents;
  private final Orders orders = new Orders();
  private final Control control;
  private final StandInServer server;

  /** How an engine works. */
  public record Settings(
      String name, int slots, long stepMicros, long prefillMicrosPerToken, int cacheBlocks) {}

  record Generate(
      String request,
      int attempt,
      String prompt,
      List<String> tokens,
      int maximumTokens,
      int priority) {}

  private record Token(int offset, String token, int load) {}

  private record End(int length) {}

  private record Rejection(String reason) {}

  private record Cancel(String request, int attempt) {}

  private record Prefix(String prompt, List<String> tokens) {}

  private record Moved(long bytes) {}

  private record Done(boolean done) {}

  public EngineStandIn(int port, Settings settings) {
    cacheEvents = new CacheEvents(settings.name().hashCode());
    batch =
        new EngineBatch(
            new EngineBatch.Settings(
                settings.name(),
                settings.slots(),
                settings.stepMicros(),
                settings.prefillMicrosPerToken()),
            new PrefixCache(settings.cacheBlocks(), cacheEvents));
    control = new Control(batch::freeze, batch::slowDown, batch::reset);
    server = new StandInServer(port, this::routes);
  }

  private void routes(Jooby application) {
    application.post("/generate", this::generate);
    application.post(
        "/cancel",
        context -> {
          Cancel cancel = StandInServer.body(context, Cancel.class);
          batch.cancel(cancel.request(), cancel.attempt());
          return StandInServer.json(context, OK, new Done(true));
        });
    application.post(
        "/kv/import",
        context -> {
          Prefix order = StandInServer.body(context, Prefix.class);
          long bytes = batch.importCache(order.prompt(), order.tokens());
          return StandInServer.json(context, OK, new Moved(bytes));
        });
    application.post(
        "/kv/export",
        context -> {
          Prefix prefix = StandInServer.body(context, Prefix.class);
          long bytes = batch.exportCache(prefix.prompt(), prefix.tokens());
          return StandInServer.json(context, OK, new Moved(bytes));
        });
    application.get(
        "/cache-events",
        context ->
            StandInServer.json(
                context, OK, cacheEvents.after(context.query("after").longValue(0))));
    application.post(
        "/orders",
        context -> {
          boolean taken = orders.take(StandInServer.body(context, Orders.Order.class));
          return StandInServer.json(context, taken ? OK : CONFLICT, orders.latest());
        });
    application.get("/counters", context -> StandInServer.json(context, OK, batch.counters()));
    control.route(application);
  }

  private Object generate(Context context) throws Exception {
    Generate request = StandInServer.body(context, Generate.class);
    if (control.isLeaving()) {
      return StandInServer.json(context, UNAVAILABLE, new Rejection("LEAVING"));
    }
    if (batch.isFull()) {
      return StandInServer.json(context, UNAVAILABLE, new Rejection("FULL"));
    }
    return context.detach(
        detached -> {
          detached.setResponseType(MediaType.valueOf("text/event-stream"));
          batch.add(
              new EngineBatch.Stream(
                  request.request(),
                  request.attempt(),
                  request.priority(),
                  request.maximumTokens(),
                  request.prompt(),
                  request.tokens(),
                  new SseOutput(detached.responseSender())));
          return detached;
        });
  }

  /** Writes tokens as server-sent events. */
  private static final class SseOutput implements EngineBatch.Output {
    private final Sender sender;
    private volatile boolean broken;

    private SseOutput(Sender sender) {
      this.sender = sender;
    }

    @Override
    public boolean token(int offset, String token, int load) {
      write("token", new Token(offset, token, load));
      return !broken;
    }

    @Override
    public void end(int length) {
      write("end", new End(length));
      sender.close();
    }

    @Override
    public void broken() {
      sender.close();
    }

    private void write(String type, Object value) {
      try {
        String data = StandInServer.MAPPER.writeValueAsString(value);
        byte[] event =
            ("event: " + type + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        sender.write(
            event,
            (context, cause) -> {
              if (cause != null) {
                broken = true;
              }
            });
      } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
        throw new IllegalStateException("records can always be written", e);
      }
    }
  }

  @Override
  public void close() {
    server.close();
    batch.close();
  }
}
