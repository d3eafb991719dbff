package org.gatereel.core.choice;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.gatereel.core.estimate.FirstEventEstimates;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/** Selects targets for requests: the candidate with the lowest total of all {@link CostTerm}s. */
public final class TargetSelector {
  private final CoreContext context;
  private final TargetRegistry targets;

  /**
   * Up to this number of hosts, each compares all targets. More hosts compare samples, so that they
   * do not all select the same few targets before their load reports arrive.
   */
  private static final int MAX_HOSTS_COMPARING_ALL = 9;

  /** Large enough that a sample rarely consists of heavily loaded targets only. */
  private static final int MIN_COMPARED = 4;

  private final LoadExchange loads;
  private final HostCount hosts;
  private final Predicate<TargetId> backsOffElsewhere;
  private FirstEventEstimates estimates = FirstEventEstimates.UNKNOWN;

  /**
   * Makes a selector.
   *
   * @param loads the loads that other hosts report
   * @param hosts counts the hosts that select among the same targets
   * @param backsOffElsewhere tests whether a target has requested a backoff from another host
   */
  public TargetSelector(
      CoreContext context,
      TargetRegistry targets,
      LoadExchange loads,
      HostCount hosts,
      Predicate<TargetId> backsOffElsewhere) {
    this.context = context;
    this.targets = targets;
    this.loads = loads;
    this.hosts = hosts;
    this.backsOffElsewhere = backsOffElsewhere;
  }

  /** Sets the source of the speeds of targets. */
  public void setEstimates(FirstEventEstimates source) {
    estimates = source;
  }

  /**
   * Selects a target; one that is failing only if there is no other.
   *
   * @param excluded targets that are not selected
   */
  public Optional<TargetChoice> choose(TargetQuery query, Set<TargetId> excluded) {
    return best(query, target -> !excluded.contains(target.description().id()));
  }

  /**
   * Selects the engine that is to hold a copy of the memory of an execution, in another data centre
   * than the executor if possible.
   *
   * <p>If the executor is in another data centre than this host, the copy is kept in the data
   * centre of this host, so that one of the two stays reachable during a network partition.
   */
  public Optional<TargetState> chooseCopyHolder(TargetQuery query, TargetState executor) {
    DataCentre executorDataCentre = executor.description().dataCentre();
    DataCentre localDataCentre = context.dataCentre();
    if (!executorDataCentre.equals(localDataCentre)) {
      Optional<TargetState> local =
          bestHolder(query, target -> isHealthy(target, localDataCentre, query.service()));
      if (local.isPresent()) {
        return local;
      }
    }
    Optional<TargetState> remote =
        bestHolder(query, target -> !target.description().dataCentre().equals(executorDataCentre));
    return remote.isPresent() ? remote : bestHolder(query, target -> target != executor);
  }

  private Optional<TargetState> bestHolder(TargetQuery query, Predicate<TargetState> allowed) {
    return best(query.withoutPromptCache(), allowed).map(TargetChoice::target);
  }

  private boolean isHealthy(TargetState target, DataCentre dataCentre, ServiceName service) {
    return target.description().dataCentre().equals(dataCentre)
        && !target.isFailing(context.now())
        && dataCentreFailures(service).excess(dataCentre) == 0;
  }

  private Optional<TargetChoice> best(TargetQuery query, Predicate<TargetState> allowed) {
    List<TargetState> eligible = query.versions().among(targets.notLeaving(query.service()));
    SelectionContext selectionContext =
        new SelectionContext(
            context.now(),
            context.dataCentre(),
            query.fittingRequests(),
            query.room(),
            dataCentreFailures(query.service()),
            ErrorBaseline.of(eligible, this::errors),
            query.promptCachedAt(),
            context.random());
    List<Candidate> candidates =
        eligible.stream()
            .filter(allowed)
            .map(target -> candidate(target, selectionContext))
            .collect(Collectors.toCollection(ArrayList::new));
    Optional<Candidate> sampled = lowestCost(sample(candidates));
    boolean healthy = sampled.map(CostTerm::isHealthy).orElse(false);
    return (healthy ? sampled : lowestCost(candidates)).map(TargetChoice::of);
  }

  private double errors(TargetState target) {
    return target.localErrors(context.now()) + loads.othersLoad(target.description().id()).errors();
  }

  private Candidate candidate(TargetState target, SelectionContext selectionContext) {
    TargetId id = target.description().id();
    return new Candidate(
        target,
        loads.othersLoad(id),
        backsOffElsewhere.test(id),
        TargetPace.draw(estimates.relativeTime(target), context.random()),
        selectionContext);
  }

  /**
   * Returns a random sample of the candidates, which is smaller the more hosts there are.
   *
   * <p>Targets of this data centre are sampled separately, so that the sample contains some of
   * them.
   */
  private List<Candidate> sample(List<Candidate> candidates) {
    List<Candidate> sample = new ArrayList<>();
    candidates.stream().filter(Candidate::hasPromptCached).forEach(sample::add);
    Map<Boolean, List<Candidate>> byDistance =
        candidates.stream().collect(Collectors.partitioningBy(Candidate::isRemote));
    sample(byDistance.get(false), hosts.localHosts(), sample);
    sample(byDistance.get(true), hosts.allHosts(), sample);
    return sample;
  }

  private void sample(List<Candidate> candidates, int hostCount, List<Candidate> sample) {
    int compared = MAX_HOSTS_COMPARING_ALL * candidates.size() / hostCount;
    int count = Math.min(candidates.size(), Math.max(MIN_COMPARED, compared));
    for (int index = 0; index < count; index++) {
      int other = context.random().nextInt(index, candidates.size());
      Collections.swap(candidates, index, other);
      sample.add(candidates.get(index));
    }
  }

  private static Optional<Candidate> lowestCost(List<Candidate> candidates) {
    Candidate best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      double cost = CostTerm.totalCost(candidate);
      if (cost < bestCost) {
        bestCost = cost;
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private DataCentreFailures dataCentreFailures(ServiceName service) {
    return DataCentreFailures.of(
        targets.known(service),
        target ->
            TargetHealth.of(target, loads.othersLoad(target.description().id()), context.now()),
        context.now());
  }
}
