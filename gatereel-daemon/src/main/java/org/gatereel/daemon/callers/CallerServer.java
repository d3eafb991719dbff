package org.gatereel.daemon.callers;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import java.util.function.BooleanSupplier;
import org.gatereel.adapters.platform.PlatformClient;
import org.gatereel.core.EntryHost;
import org.gatereel.core.edit.TableHistory;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.daemon.control.ControlLoop;
import org.gatereel.daemon.events.EventLog;
import org.gatereel.daemon.settings.Settings;

/** The HTTP server for callers, operators and the balancer. */
public final class CallerServer implements AutoCloseable {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int IO_THREADS = 2;
  private static final int WORKER_THREADS = 2;

  static {
    // Jooby's shutdown hook would close the server before the open requests are drained.
    System.setProperty("jooby.useShutdownHook", "false");
  }

  private final NettyServer server = new NettyServer();
  private final EventLog events;
  private final BooleanSupplier ready;

  private record Health(String state) {}

  /**
   * Starts the server.
   *
   * @param ready whether no graceful shutdown has begun
   * @param drain makes the readiness check fail
   * @throws HttpPortException if the address cannot be bound
   */
  public CallerServer(
      Settings settings,
      CallerExchanges exchanges,
      ControlLoop control,
      EventLog events,
      PlatformClient platform,
      BooleanSupplier ready,
      Runnable drain)
      throws HttpPortException {
    this.events = events;
    this.ready = ready;
    Jooby application = Jooby.createApp(ExecutionMode.EVENT_LOOP, Jooby::new);
    new CallerRoutes(exchanges).route(application);
    new OperatorRoutes(
            exchanges,
            control,
            events,
            settings.operators(),
            (after, done) -> platform.scan(TableHistory.PREFIX, TableHistory.key(after), done),
            drain)
        .route(application);
    application.get("/healthz", context -> sendHealth(context, true));
    application.get("/readyz", context -> sendReadiness(context, control));
    application.get("/metrics", this::sendMetrics);
    application.error(this::handleError);
    server.setOptions(options(settings));
    try {
      server.start(application);
    } catch (RuntimeException e) {
      throw new HttpPortException(settings.httpAddress(), e);
    }
  }

  private static ServerOptions options(Settings settings) {
    ServerOptions options = new ServerOptions();
    options.setHost(settings.httpAddress().ip());
    options.setPort(settings.httpAddress().port());
    options.setIoThreads(IO_THREADS);
    options.setWorkerThreads(WORKER_THREADS);
    options.setMaxRequestSize(settings.mostBodyBytes());
    options.setDefaultHeaders(false);
    return options;
  }

  private static Context sendHealth(Context context, boolean healthy) {
    context.setResponseCode(healthy ? OK : UNAVAILABLE);
    context.setResponseType(MediaType.json);
    return context.send(ProblemDocument.json(new Health(healthy ? "ready" : "not ready")));
  }

  private Object sendReadiness(Context context, ControlLoop control) throws Exception {
    if (!ready.getAsBoolean()) {
      return sendHealth(context, false);
    }
    return context.detach(
        detached -> {
          var unused =
              control
                  .query(EntryHost::isReady)
                  .thenAccept(isReady -> sendHealth(detached, isReady));
          return detached;
        });
  }

  private Context sendMetrics(Context context) {
    context.setResponseType(MediaType.text);
    return context.send(events.scrape());
  }

  private void handleError(Context context, Throwable cause, StatusCode status) {
    ProblemDocument.send(context, problem(context, cause, status));
  }

  private Problem problem(Context context, Throwable cause, StatusCode status) {
    if (status.value() == ProblemType.BODY_TOO_LARGE.status()) {
      return Problem.notRun(ProblemType.BODY_TOO_LARGE, "see mostBodyBytes in the settings");
    }
    if (status.value() == ProblemType.UNKNOWN_PATH.status()
        || status.value() == StatusCode.METHOD_NOT_ALLOWED_CODE) {
      return Problem.notRun(
          ProblemType.UNKNOWN_PATH, context.getMethod() + " " + context.getRequestPath());
    }
    if (status.value() < StatusCode.SERVER_ERROR_CODE) {
      return Problem.notRun(ProblemType.MALFORMED_BODY, String.valueOf(cause.getMessage()));
    }
    events.logFailure("a request could not be handled", cause);
    return new Problem(ProblemType.INTERNAL, Outcome.UNKNOWN, "see the log", 0);
  }

  @Override
  public void close() {
    server.stop();
  }
}
