package org.gatereel.standins.service;

import io.jooby.Context;
import io.jooby.Jooby;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gatereel.standins.Control;
import org.gatereel.standins.StandInServer;

/** Stands in for a plain service; it records each execution and does not detect duplicates. */
public final class ServiceStandIn implements AutoCloseable {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final long FROZEN_LOOK_MILLIS = 5;

  private final String name;
  private final long workMillis;
  private final List<Execution> executions = new ArrayList<>();
  private final AtomicInteger open = new AtomicInteger();
  private final ScheduledExecutorService worker = Executors.newScheduledThreadPool(2);
  private final Control control;
  private final StandInServer server;
  private volatile boolean frozen;
  private volatile double slowFactor = 1;

  /** One execution, in the order in which they took place. */
  public record Execution(String id, String body, long nanos) {}

  private record Response(String service, String id, long number) {}

  private record Rejection(String reason) {}

  public ServiceStandIn(int port, String name, long workMillis) {
    this.name = name;
    this.workMillis = workMillis;
    this.control = new Control(on -> frozen = on, factor -> slowFactor = factor);
    this.server = new StandInServer(port, this::routes);
  }

  private void routes(Jooby application) {
    application.post("/call", this::call);
    application.get("/executions", context -> StandInServer.json(context, OK, snapshot()));
    control.route(application);
  }

  private synchronized List<Execution> snapshot() {
    return List.copyOf(executions);
  }

  private Object call(Context context) throws Exception {
    if (control.isLeaving()) {
      return StandInServer.json(context, UNAVAILABLE, new Rejection("LEAVING"));
    }
    String id = context.header("Idempotency-Key").value("");
    String body = context.body().value("");
    open.incrementAndGet();
    return context.detach(
        detached -> {
          runLater(detached, id, body, (long) (workMillis * slowFactor));
          return detached;
        });
  }

  private void runLater(Context context, String id, String body, long delayMillis) {
    var unused =
        worker.schedule(
            () -> {
              if (frozen) {
                runLater(context, id, body, FROZEN_LOOK_MILLIS);
              } else {
                run(context, id, body);
              }
            },
            delayMillis,
            TimeUnit.MILLISECONDS);
  }

  private void run(Context context, String id, String body) {
    long number = record(id, body);
    context.setResponseHeader("Load", Integer.toString(open.getAndDecrement()));
    StandInServer.json(context, OK, new Response(name, id, number));
  }

  private synchronized long record(String id, String body) {
    executions.add(new Execution(id, body, System.nanoTime()));
    return executions.size();
  }

  @Override
  public void close() {
    server.close();
    worker.shutdownNow();
  }
}
