package org.gatereel.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.forward.ForwardObserver;
import org.gatereel.core.forward.Rejection;
import org.gatereel.forward.http.CloseReason;
import org.gatereel.forward.http.ConnectionState;

/** Counters and latency histograms of forwarded requests, in Prometheus' text format. */
public final class ForwardMetrics implements ForwardObserver {
  private static final Duration[] BUCKETS = {
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(400),
    Duration.ofMillis(800),
    Duration.ofMillis(1_600),
    Duration.ofMillis(3_200),
    Duration.ofMillis(6_400),
    Duration.ofMillis(12_800),
    Duration.ofMillis(25_600),
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<RouteKind, Timer> responseTimers = new EnumMap<>(RouteKind.class);
  private final Map<RouteKind, Counter> interruptedCounters = new EnumMap<>(RouteKind.class);
  private final Map<Rejection, Counter> rejectedCounters = new EnumMap<>(Rejection.class);

  private final Counter stepFailures =
      Counter.builder("gatereel_forward_failed_steps")
          .description("steps of requests that threw an exception")
          .register(registry);

  public ForwardMetrics() {
    for (RouteKind kind : RouteKind.values()) {
      responseTimers.put(
          kind,
          Timer.builder("gatereel_forward_answered")
              .description("time from a request to the end of its answer")
              .tag("kind", kind.name())
              .serviceLevelObjectives(BUCKETS)
              .register(registry));
      interruptedCounters.put(
          kind,
          Counter.builder("gatereel_forward_interrupted")
              .description("answers broken off after they had begun")
              .tag("kind", kind.name())
              .register(registry));
    }
    for (Rejection rejection : Rejection.values()) {
      rejectedCounters.put(
          rejection,
          Counter.builder("gatereel_forward_refused")
              .description("final answers of this host's own")
              .tag("reason", rejection.name())
              .register(registry));
    }
  }

  @Override
  public void recordResponse(Route route, long millis) {
    responseTimers.get(route.kind()).record(millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void recordRejection(Rejection rejection) {
    rejectedCounters.get(rejection).increment();
  }

  @Override
  public void recordInterruption(Route route) {
    interruptedCounters.get(route.kind()).increment();
  }

  @Override
  public void recordStepFailure(RuntimeException failure) {
    stepFailures.increment();
  }

  /** Counts a closed connection of a caller. */
  public void recordConnectionClosed(CloseReason reason, ConnectionState state) {
    Counter.builder("gatereel_forward_caller_connections_closed")
        .description("closed connections of callers, by reason and state")
        .tag("reason", reason.name())
        .tag("state", state.name())
        .register(registry)
        .increment();
  }

  /** Adds a gauge whose value is read on each scrape. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder("gatereel_forward_" + name, value).register(registry);
  }

  /** Returns all metrics in Prometheus' text format. */
  public String scrape() {
    return registry.scrape();
  }
}
