package org.gatereel.core.speed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.gatereel.core.estimate.FirstEventEstimates;
import org.gatereel.core.estimate.RequestSize;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.load.TargetTimes;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/** Learns the speed of targets and estimates from it the time of their next response. */
public final class TargetSpeeds implements FirstEventEstimates {
  /** How long the medians of a service are used before they are computed again. */
  private static final long MEDIANS_MILLIS = 250;

  private static final double TOKENS_PER_UNIT = 1_000;

  /** By how much each running request prolongs the reading of a prompt. */
  private static final double RUNNING_SHARE = 0.02;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final LoadExchange loads;
  private final Map<TargetId, TargetTimer> timers = new HashMap<>();
  private final Map<ServiceName, Medians> medians = new HashMap<>();

  private record Medians(ServiceTimes times, long computedAt) {}

  /** Makes an instance and registers it as the source of learnt times for load reports. */
  public TargetSpeeds(CoreContext context, TargetRegistry targets, LoadExchange loads) {
    this.context = context;
    this.targets = targets;
    this.loads = loads;
    loads.setTimesSource(this::timesToReport);
  }

  /**
   * Starts to time an attempt that is sent to a target now, before it counts as open there.
   *
   * @param promptTokens the tokens that the target has to read; 0 if it reads none
   */
  public AttemptTimer begin(TargetState target, long promptTokens) {
    forgetRemovedTargets();
    TargetTimer timer = timers.computeIfAbsent(target.description().id(), any -> new TargetTimer());
    return new AttemptTimer(
        timer, () -> prompts(target) > 0, promptTokens, prompts(target), context.now());
  }

  private void forgetRemovedTargets() {
    if (timers.size() > targets.all().size()) {
      timers.keySet().removeIf(id -> targets.find(id).isEmpty());
    }
  }

  @Override
  public OptionalDouble expectedMillis(TargetState target, RequestSize size) {
    OptionalDouble unloaded = unloadedMillis(target.description().service(), size);
    if (unloaded.isEmpty()) {
      return unloaded;
    }
    double own = unloaded.getAsDouble() * relativeTime(target);
    return OptionalDouble.of(
        target.description().kind() == TargetKind.ENGINE
            ? own * (AttemptTimer.promptsToRead(prompts(target)) + RUNNING_SHARE * running(target))
            : own * Math.max(1, (open(target) + 1) / Math.max(1, target.description().slots())));
  }

  @Override
  public OptionalDouble unloadedMillis(ServiceName service, RequestSize size) {
    double workMillis = medians(service).workMillis();
    if (Double.isNaN(workMillis)) {
      return OptionalDouble.empty();
    }
    double units = size.promptTokens() == 0 ? 1 : size.promptTokens() / TOKENS_PER_UNIT;
    return OptionalDouble.of(workMillis * units);
  }

  @Override
  public double relativeTime(TargetState target) {
    TargetTimes times = times(target);
    return times.isKnown() ? medians(target.description().service()).relativeTime(times) : 1;
  }

  /** Returns the relative time of the slowest target, or of the fastest one. */
  public double extremeRelativeTime(boolean slowest) {
    double extreme = 1;
    for (TargetState target : targets.all()) {
      double relative = relativeTime(target);
      extreme = slowest ? Math.max(extreme, relative) : Math.min(extreme, relative);
    }
    return extreme;
  }

  private Map<TargetId, TargetTimes> timesToReport() {
    Map<TargetId, TargetTimes> reported = new HashMap<>();
    timers.forEach(
        (id, timer) -> {
          TargetTimes times = timer.at(context.now());
          if (times.isKnown()) {
            reported.put(id, times);
          }
        });
    return reported;
  }

  private TargetTimes ownTimes(TargetState target) {
    TargetTimer timer = timers.get(target.description().id());
    return timer == null ? TargetTimes.UNKNOWN : timer.at(context.now());
  }

  private TargetTimes times(TargetState target) {
    return ownTimes(target).plus(loads.othersTimes(target.description().id()));
  }

  private ServiceTimes medians(ServiceName service) {
    Medians known = medians.get(service);
    if (known == null || context.now() - known.computedAt() >= MEDIANS_MILLIS) {
      known = new Medians(ServiceTimes.of(timesOf(service)), context.now());
      medians.put(service, known);
    }
    return known.times();
  }

  private List<TargetTimes> timesOf(ServiceName service) {
    List<TargetTimes> all = new ArrayList<>();
    targets.notLeaving(service).forEach(target -> all.add(times(target)));
    return all;
  }

  private int prompts(TargetState target) {
    return target.localPrefills() + loads.othersLoad(target.description().id()).reading();
  }

  private double open(TargetState target) {
    return target.estimatedLoad(context.now()) + loads.othersLoad(target.description().id()).open();
  }

  private double running(TargetState target) {
    return Math.max(0, open(target) - prompts(target));
  }
}
