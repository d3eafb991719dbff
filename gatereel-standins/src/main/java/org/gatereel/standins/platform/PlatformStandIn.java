package org.gatereel.standins.platform;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Route;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.standins.StandInServer;

/** Stands in for the platform: table, object store, weight store and the lagging list of hosts. */
public final class PlatformStandIn implements AutoCloseable {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY = 429;
  private static final int DOWN = 503;

  private final MemoryTable table = new MemoryTable();
  private final Registry registry;
  private final Faults faults = new Faults();
  private final RateLimit writes;
  private final RateLimit reads;
  private final RateLimit weights;
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final ScheduledExecutorService later =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "platform-later");
            thread.setDaemon(true);
            return thread;
          });
  private final StandInServer server;

  /** The limits of the platform. */
  public record Limits(
      double writesPerSecond, double readsPerSecond, double weightsPerSecond, long listLagMillis) {}

  private record Rejection(String reason) {}

  private record Done(boolean done) {}

  public PlatformStandIn(int port, Limits limits) {
    registry = new Registry(limits.listLagMillis());
    writes = new RateLimit(limits.writesPerSecond());
    reads = new RateLimit(limits.readsPerSecond());
    weights = new RateLimit(limits.weightsPerSecond());
    server = new StandInServer(port, this::routes);
  }

  private void routes(Jooby application) {
    application.post("/table/transaction", limited(writes, this::transact));
    application.post(
        "/table/read",
        limited(
            reads,
            context ->
                StandInServer.json(
                    context, OK, table.read(StandInServer.body(context, MemoryTable.Read.class)))));
    application.get(
        "/table/scan",
        limited(
            reads,
            context ->
                StandInServer.json(
                    context,
                    OK,
                    table.scan(
                        context.query("prefix").value(""), context.query("after").value("")))));
    application.get(
        "/hosts", limited(reads, context -> StandInServer.json(context, OK, registry.list())));
    application.put("/objects/{name}", limited(writes, this::putObject));
    application.get("/objects/{name}", limited(reads, this::getObject));
    application.get(
        "/weights/{model}",
        limited(weights, context -> StandInServer.json(context, OK, new Done(true))));
    operatorRoutes(application);
  }

  /** Adds the paths that control the stand-in; faults do not affect them. */
  private void operatorRoutes(Jooby application) {
    application.put(
        "/registry/hosts",
        context -> {
          registry.put(StandInServer.body(context, HostDescription.class));
          return StandInServer.json(context, OK, new Done(true));
        });
    application.put(
        "/registry/targets",
        context -> {
          registry.put(StandInServer.body(context, TargetDescription.class));
          return StandInServer.json(context, OK, new Done(true));
        });
    application.delete(
        "/registry/{id}",
        context -> {
          registry.remove(context.path("id").value());
          return StandInServer.json(context, OK, new Done(true));
        });
    application.post(
        "/faults",
        context -> {
          faults.set(StandInServer.body(context, Faults.Order.class));
          return StandInServer.json(context, OK, new Done(true));
        });
    application.get("/counters", context -> StandInServer.json(context, OK, table.counters()));
  }

  private Route.Handler limited(RateLimit limit, Route.Handler handler) {
    return context -> {
      if (faults.isDown()) {
        return StandInServer.json(context, DOWN, new Rejection("OUTAGE"));
      }
      if (!limit.take()) {
        return StandInServer.json(context, TOO_MANY, new Rejection("THROTTLED"));
      }
      long slowMillis = faults.slowMillis();
      if (slowMillis == 0) {
        return handler.apply(context);
      }
      return context.detach(
          detached -> {
            var unused =
                later.schedule(
                    () -> applyLater(handler, detached), slowMillis, TimeUnit.MILLISECONDS);
            return detached;
          });
    };
  }

  private static void applyLater(Route.Handler handler, Context context) {
    try {
      handler.apply(context);
    } catch (Exception e) {
      context.sendError(e);
    }
  }

  private Object transact(Context context) throws Exception {
    var transaction = StandInServer.body(context, MemoryTable.Transaction.class);
    Optional<MemoryTable.Conflict> conflict = table.transact(transaction);
    if (faults.takeLostResponse()) {
      // The write took effect, but its response is omitted.
      return context.detach(detached -> detached);
    }
    if (conflict.isPresent()) {
      return StandInServer.json(context, CONFLICT, conflict.get());
    }
    return StandInServer.json(context, OK, new Done(true));
  }

  private Object putObject(Context context) {
    objects.put(context.path("name").value(), context.body().bytes());
    return StandInServer.json(context, OK, new Done(true));
  }

  private Object getObject(Context context) {
    byte[] object = objects.get(context.path("name").value());
    if (object == null) {
      return StandInServer.json(context, NOT_FOUND, new Rejection("MISSING"));
    }
    return context.send(object);
  }

  @Override
  public void close() {
    server.close();
    later.shutdownNow();
  }
}
