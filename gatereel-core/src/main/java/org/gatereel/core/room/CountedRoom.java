package org.gatereel.core.room;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Stream;
import org.gatereel.core.estimate.RequestSize;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Counts the room at engines: slots, tokens of memory and prompts to read, less what this host has
 * there and what other hosts have reported.
 *
 * <p>Requests of other hosts and copies count with the usual size of the requests that this host
 * sends to the service. Services without {@link EngineLimits} have room always.
 */
public final class CountedRoom implements TargetRoom {
  /** Larger sizes are those of malformed requests. */
  private static final long MAX_TOKENS = 1L << 32;

  /** Shorter than the usual age of load reports. */
  private static final long COUNT_VALIDITY_MILLIS = 50;

  /** A change is in the reports of all hosts after this time: three links, and their batches. */
  private static final long REPORT_DELAY_MILLIS = 600;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final LoadExchange loads;
  private final Function<ServiceName, Optional<EngineLimits>> limits;
  private final OutputLengths outputLengths = new OutputLengths();
  private final Map<TargetId, Long> localTokens = new HashMap<>();
  private final Map<ServiceName, MovingMean> usualTokens = new HashMap<>();
  private final Map<ServiceName, PromptTimes> promptTimes = new HashMap<>();
  private final Map<ServiceName, Integer> waiting = new HashMap<>();
  private final Map<ServiceName, Count> counts = new HashMap<>();
  private final RecentFailures failures = new RecentFailures(REPORT_DELAY_MILLIS);

  /** The free places of a service at some time. */
  private record Count(RequestSize size, long countedAt, double places) {}

  /**
   * Makes a room count.
   *
   * @param limits returns what limits the engines of a service; empty if nothing does
   */
  public CountedRoom(
      CoreContext context,
      TargetRegistry targets,
      LoadExchange loads,
      Function<ServiceName, Optional<EngineLimits>> limits) {
    this.context = context;
    this.targets = targets;
    this.loads = loads;
    this.limits = limits;
  }

  /** Returns whether the engines of a service are limited. */
  public boolean isLimited(ServiceName service) {
    return limits.apply(service).isPresent();
  }

  /** Returns how long an engine of the service takes to read a prompt; 0 if unknown. */
  public double promptMillis(ServiceName service) {
    PromptTimes times = promptTimes.get(service);
    return times == null ? 0 : times.millis();
  }

  /** Returns the expected size of a request, from its route and its caller's estimate in tokens. */
  public RequestSize expectedSize(String route, long promptTokens, OptionalLong outputEstimate) {
    long prompt = Math.max(0, Math.min(promptTokens, MAX_TOKENS));
    long output = outputLengths.expectedTokens(route, prompt, outputEstimate);
    return new RequestSize(prompt, Math.max(0, Math.min(output, MAX_TOKENS)));
  }

  /** Records a complete stream, from which the length of outputs is learnt. */
  public void recordOutput(String route, long eventCount, OptionalLong outputEstimate) {
    if (eventCount > 0) {
      outputLengths.record(route, eventCount, outputEstimate);
    }
  }

  /** Returns whether the target is not known to have any prompt to read. */
  public boolean hasNoPrompts(TargetState target) {
    return target.localPrefills() + othersLoad(target).reading() == 0;
  }

  /** Records how long an engine without other prompts took until the first event. */
  public void recordPromptMillis(ServiceName service, long millis) {
    if (!isLimited(service)) {
      return;
    }
    promptTimes.computeIfAbsent(service, any -> new PromptTimes()).record(millis);
  }

  private static double mean(
      Map<ServiceName, MovingMean> means, ServiceName service, double defaultValue) {
    MovingMean mean = means.get(service);
    return mean == null ? defaultValue : mean.value();
  }

  /**
   * Records that this host sends a request to a target; returns the tokens of memory to give back
   * with {@link #recordClosed}, 0 if the service is not limited.
   */
  public long recordOpened(TargetState target, RequestSize size) {
    ServiceName service = target.description().service();
    Optional<EngineLimits> engine = limits.apply(service);
    if (engine.isEmpty()) {
      return 0;
    }
    long tokens = Math.min(size.totalTokens(), engine.get().cacheTokens());
    localTokens.merge(target.description().id(), tokens, Long::sum);
    usualTokens.computeIfAbsent(service, any -> new MovingMean()).record(tokens);
    counts.computeIfPresent(
        service, (any, count) -> new Count(count.size(), count.countedAt(), count.places() - 1));
    return tokens;
  }

  /**
   * Records that a request of this host at a target has ended, in whatever way.
   *
   * @param ended the tokens that {@link #recordOpened} returned
   */
  public void recordClosed(TargetState target, long ended) {
    localTokens.computeIfPresent(
        target.description().id(), (id, tokens) -> tokens > ended ? tokens - ended : null);
  }

  /** Adds to the number of requests that wait here for room; {@code change} may be negative. */
  public void adjustWaiting(ServiceName service, int change) {
    waiting.merge(service, change, Integer::sum);
  }

  /** Returns how many requests wait here for room. */
  public int waitingRequests() {
    return waiting.values().stream().mapToInt(Integer::intValue).sum();
  }

  @Override
  public Map<DemandKey, Double> waitingToReport() {
    Map<DemandKey, Double> reported = new HashMap<>();
    waiting.forEach(
        (service, count) -> reported.put(DemandKey.waitingForRoom(service), (double) count));
    return reported;
  }

  @Override
  public boolean hasRoom(TargetState target, RequestSize size) {
    Optional<EngineLimits> engine = limits.apply(target.description().service());
    return engine.isEmpty() || freePlaces(target, size, engine.get()) >= 1;
  }

  @Override
  public double freePlaces(ServiceName service, RequestSize size) {
    Optional<EngineLimits> engine = limits.apply(service);
    if (engine.isEmpty()) {
      return Double.POSITIVE_INFINITY;
    }
    Count count = counts.get(service);
    boolean isValid =
        count != null
            && count.size().equals(size)
            && context.now() - count.countedAt() < COUNT_VALIDITY_MILLIS;
    if (!isValid) {
      count = new Count(size, context.now(), countPlaces(service, size, engine.get()));
      counts.put(service, count);
    }
    return Math.max(0, count.places());
  }

  /**
   * Draws whether a request may take a place at a target that was chosen for it; for the first time
   * for this request.
   */
  public boolean mayTake(TargetState target, RequestSize size) {
    return mayTake(target, size, REPORT_DELAY_MILLIS);
  }

  /**
   * Draws whether a request may take a place at a target that was chosen for it.
   *
   * <p>All hosts observe the same places, so that each sends with the probability of the free
   * places of the service divided by the requests that compete for them. Places that were taken in
   * an earlier draw are not in the reports yet. So if a request draws again within the delay of
   * reports, its probability is smaller by this ratio.
   *
   * @param millisSinceDraw the time since this was last drawn for the request
   */
  public boolean mayTake(TargetState target, RequestSize size, long millisSinceDraw) {
    ServiceName service = target.description().service();
    Optional<EngineLimits> engine = limits.apply(service);
    if (engine.isEmpty()) {
      return true;
    }
    if (freePlaces(target, size, engine.get()) < 1) {
      return false;
    }
    double ratio = Math.min(1, (double) millisSinceDraw / REPORT_DELAY_MILLIS);
    double free = ratio * (1 - failedRatio(service)) * freePlaces(service, size);
    return context.random().nextDouble() * competing(service) < free;
  }

  /** Returns what a decision on room depends on as {@code key=value} pairs for the log. */
  public String inputs(ServiceName service, RequestSize size) {
    return String.format(
        Locale.ROOT,
        "room=none places=%.0f competing=%.0f tokens=%d promptMillis=%.0f loadsAgeMillis=%d",
        freePlaces(service, size),
        competing(service),
        size.totalTokens(),
        promptMillis(service),
        loads.oldestReportAgeMillis());
  }

  private double competing(ServiceName service) {
    Map<DemandKey, Double> others = loads.othersDemand();
    return Math.max(1, waiting.getOrDefault(service, 0))
        + others.getOrDefault(DemandKey.waitingFor(service), 0.0)
        + others.getOrDefault(DemandKey.waitingForRoom(service), 0.0)
        + displacedElsewhere(service)
        + REPORT_DELAY_MILLIS
            / MILLIS_PER_SECOND
            * others.getOrDefault(DemandKey.allOf(service), 0.0);
  }

  /** Returns how many requests other hosts had at targets that failed a moment ago. */
  private double displacedElsewhere(ServiceName service) {
    double ratio = failedRatio(service);
    double unobserved =
        ratio == 0 ? 0 : notFailed(service).mapToDouble(target -> othersLoad(target).open()).sum();
    return failures.openElsewhere(service, context.now()) + ratio * unobserved;
  }

  /**
   * Returns the estimated ratio of failed targets among those that are not known to have failed.
   */
  private double failedRatio(ServiceName service) {
    long used = notFailed(service).filter(target -> target.localOpenRequests() > 0).count();
    return failures.failedRatio(service, used, context.now());
  }

  private Stream<TargetState> notFailed(ServiceName service) {
    return targets.usable(service).stream()
        .filter(target -> !failures.contains(target.description().id(), context.now()));
  }

  /** Records that a target failed; what other hosts had open there competes for other targets. */
  public void recordFault(TargetState target) {
    ServiceName service = target.description().service();
    if (isLimited(service)) {
      failures.record(target.description().id(), service, othersLoad(target).open(), context.now());
    }
  }

  private double countPlaces(ServiceName service, RequestSize size, EngineLimits engine) {
    double places = 0;
    for (TargetState target : targets.usable(service)) {
      boolean failedElsewhere = othersLoad(target).failedAt() > target.lastDataAt();
      places += failedElsewhere ? 0 : Math.max(0, Math.floor(freePlaces(target, size, engine)));
    }
    return places;
  }

  /**
   * Returns whether the target has a slot, and memory beside all copies, for a request, whatever it
   * has to read.
   */
  public boolean fits(TargetState target, RequestSize size) {
    Optional<EngineLimits> engine = limits.apply(target.description().service());
    return engine.isEmpty() || placesToRun(target, size, engine.get(), copies(target)) >= 1;
  }

  private TargetLoad othersLoad(TargetState target) {
    return loads.othersLoad(target.description().id());
  }

  private int copies(TargetState target) {
    return target.localCopies() + othersLoad(target).copies();
  }

  /** Copies do not keep requests waiting, since most of them are never resumed. */
  private double freePlaces(TargetState target, RequestSize size, EngineLimits engine) {
    int prompts = target.localPrefills() + othersLoad(target).reading();
    double freePrompts = maxPrompts(target.description().service(), engine) - prompts;
    return Math.min(freePrompts, placesToRun(target, size, engine, 0));
  }

  private double placesToRun(
      TargetState target, RequestSize size, EngineLimits engine, int copies) {
    double open = target.estimatedLoad(context.now()) + othersLoad(target).open();
    double freeSlots = target.description().slots() - open;
    return Math.min(freeSlots, placesInMemory(target, size, engine, open, copies));
  }

  /** An empty engine has a place for any request, since none fits a larger one better. */
  private double placesInMemory(
      TargetState target, RequestSize size, EngineLimits engine, double open, int copies) {
    if (size.totalTokens() == 0) {
      return Double.POSITIVE_INFINITY;
    }
    double usual = mean(usualTokens, target.description().service(), size.totalTokens());
    double othersOpen = Math.max(0, open - target.localOpenRequests());
    double used =
        localTokens.getOrDefault(target.description().id(), 0L) + (othersOpen + copies) * usual;
    double places = (engine.cacheTokens() - used) / size.totalTokens();
    return open + copies < 1 ? Math.max(1, places) : places;
  }

  /** Returns how many prompts an engine reads one after another within the time for a queue. */
  private double maxPrompts(ServiceName service, EngineLimits engine) {
    double millis = promptMillis(service);
    return millis == 0
        ? Double.POSITIVE_INFINITY
        : Math.max(1, Math.floor(engine.objectiveMillis() / millis));
  }
}
