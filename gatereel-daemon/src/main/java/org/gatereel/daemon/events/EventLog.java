package org.gatereel.daemon.events;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.daemon.settings.Settings;
import org.gatereel.forward.log.JsonLogFormatter;
import org.gatereel.forward.log.LogEvent;

/** Records events in the log, the timeline and the metrics. */
public final class EventLog implements AutoCloseable {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final double[] PERCENTILES = {0.5, 0.95, 0.99};
  private static final int FIRST_REQUEST_CODE = 200;
  private static final int FIRST_TABLE_CODE = 400;

  private final String host;
  private final EventRing ring;
  private final Logger root = LogManager.getLogManager().getLogger("");
  private final AtomicLong sequence = new AtomicLong();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<EventCode, Counter> counters = new EnumMap<>(EventCode.class);
  private final Map<MeasureKey, DistributionSummary> summaries = new ConcurrentHashMap<>();

  private record MeasureKey(String measurement, String service, String arm) {}

  public EventLog(Settings settings) {
    host = settings.host().value();
    ring = new EventRing(settings.eventRing());
    configureLogging(settings);
    new JvmMemoryMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
    for (EventCode code : EventCode.values()) {
      counters.put(
          code,
          Counter.builder("gatereel_events")
              .description("numbered events, by name")
              .tag("event", code.name())
              .register(registry));
    }
  }

  private void configureLogging(Settings settings) {
    Handler handler = new ConsoleHandler();
    handler.setFormatter(new JsonLogFormatter(host));
    handler.setLevel(Level.ALL);
    for (Handler present : root.getHandlers()) {
      root.removeHandler(present);
    }
    root.addHandler(handler);
    boolean quiet = settings.logLevel() == Settings.LogLevel.WARNING;
    root.setLevel(quiet ? Level.WARNING : Level.INFO);
  }

  /** Records an event of the core. */
  public void recordEvent(Action.LogEvent note) {
    EventCode code = note.code();
    counters.get(code).increment();
    ring.add(
        new TimelineEntry(
            sequence.incrementAndGet(),
            System.currentTimeMillis(),
            host,
            code.number(),
            code.name(),
            note.subject(),
            note.detail()));
    // Events of single requests are kept out of the log because of their number.
    boolean ofOneRequest = code.number() >= FIRST_REQUEST_CODE && code.number() < FIRST_TABLE_CODE;
    if (!ofOneRequest) {
      LOGGER
          .atInfo()
          .with(
              LogEvent.KEY, new LogEvent(code.number(), code.name(), note.subject(), note.detail()))
          .log("event");
    }
  }

  /** Records a measured value in the metrics. */
  public void recordMeasurement(Action.RecordMeasurement measure) {
    MeasureKey key =
        new MeasureKey(
            measure.measurement().name(), measure.service().value(), measure.arm().name());
    summaries.computeIfAbsent(key, this::createSummary).record((double) measure.value());
  }

  private DistributionSummary createSummary(MeasureKey key) {
    return DistributionSummary.builder(
            "gatereel_" + key.measurement().toLowerCase(java.util.Locale.ROOT))
        .tag("service", key.service())
        .tag("arm", key.arm())
        .publishPercentiles(PERCENTILES)
        .register(registry);
  }

  /** Logs an internal failure of this process. */
  public void logFailure(String message, Throwable cause) {
    LOGGER.atSevere().withCause(cause).log("%s", message);
  }

  /** Registers a gauge whose value is computed when the metrics are read. */
  public void addGauge(String name, Supplier<Number> value) {
    io.micrometer.core.instrument.Gauge.builder("gatereel_" + name, value).register(registry);
  }

  /** Returns the metrics in the text format of Prometheus. */
  public String scrape() {
    return registry.scrape();
  }

  /**
   * Returns the recent events of this process.
   *
   * @param sinceMillis the earliest time, in milliseconds since 1970
   * @param subject restricts the events to one subject unless empty
   */
  public List<TimelineEntry> timeline(long sinceMillis, String subject) {
    return ring.since(sinceMillis, subject);
  }

  @Override
  public void close() {
    registry.close();
  }
}
