package org.gatereel.core.choice;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/** Chooses targets for forwarded requests: those of which the considerations cost least. */
public final class TargetSelector {
  private final CoreContext context;
  private final TargetRegistry targets;

  /**
   * Up to so many hosts all targets are compared. What more hosts choose before they hear of each
   * other would meet at the same few targets.
   */
  private static final int HOSTS_THAT_COMPARE_ALL = 9;

  /** Enough that a drawn target is rarely among the most loaded. */
  private static final int LEAST_COMPARED = 4;

  private final LoadExchange loads;
  private final HostCount hosts;
  private final Predicate<TargetId> restsElsewhere;

  /**
   * Makes a selector.
   *
   * @param loads tells what other hosts have at targets
   * @param hosts tells how many hosts choose among the same targets
   * @param restsElsewhere tells whether a target asked another host for rest
   */
  public TargetSelector(
      CoreContext context,
      TargetRegistry targets,
      LoadExchange loads,
      HostCount hosts,
      Predicate<TargetId> restsElsewhere) {
    this.context = context;
    this.targets = targets;
    this.loads = loads;
    this.hosts = hosts;
    this.restsElsewhere = restsElsewhere;
  }

  /** Chooses a target for a run; one that fails just now only if there is no other. */
  public Optional<TargetChoice> choose(TargetQuery query, Set<TargetId> without) {
    return best(query, target -> !without.contains(target.description().id()));
  }

  /**
   * Chooses who is to hold a copy of a run's memory: in another data centre than the runner.
   *
   * <p>A runner in another data centre than this host has its copy in this host's, so that one of
   * the two is within reach when the data centre is cut off.
   */
  public Optional<TargetState> chooseCopyHolder(TargetQuery query, TargetState runner) {
    DataCentre there = runner.description().dataCentre();
    DataCentre here = context.dataCentre();
    if (!there.equals(here)) {
      Optional<TargetState> near = holder(query, target -> isSound(target, here, query.service()));
      if (near.isPresent()) {
        return near;
      }
    }
    Optional<TargetState> apart =
        holder(query, target -> !target.description().dataCentre().equals(there));
    return apart.isPresent() ? apart : holder(query, target -> target != runner);
  }

  private Optional<TargetState> holder(TargetQuery query, Predicate<TargetState> allowed) {
    return best(query.withoutReader(), allowed).map(TargetChoice::target);
  }

  private boolean isSound(TargetState target, DataCentre dataCentre, ServiceName service) {
    return target.description().dataCentre().equals(dataCentre)
        && !target.isFailing(context.now())
        && doubts(service).of(dataCentre) == 0;
  }

  private Optional<TargetChoice> best(TargetQuery query, Predicate<TargetState> allowed) {
    List<TargetState> listed = query.versions().among(targets.listed(query.service()));
    Situation situation =
        new Situation(
            context.now(),
            context.dataCentre(),
            query.fitting(),
            doubts(query.service()),
            UsualErrors.of(listed, this::errors),
            query.readAt(),
            context.random());
    List<Candidate> candidates =
        listed.stream()
            .filter(allowed)
            .map(target -> candidate(target, situation))
            .collect(Collectors.toCollection(ArrayList::new));
    Optional<Candidate> drawn = cheapest(draw(candidates));
    boolean sound = drawn.map(Consideration::isSound).orElse(false);
    return (sound ? drawn : cheapest(candidates)).map(TargetChoice::of);
  }

  private double errors(TargetState target) {
    return target.errorsHere(context.now()) + loads.othersLoad(target.description().id()).errors();
  }

  private Candidate candidate(TargetState target, Situation situation) {
    TargetId id = target.description().id();
    return new Candidate(target, loads.othersLoad(id), restsElsewhere.test(id), situation);
  }

  /**
   * Draws the targets that are compared: fewer, the more hosts choose at the same time.
   *
   * <p>Those of this data centre are drawn apart, so that there are some among the drawn: only its
   * own hosts prefer them, and a service may have one target alone in each data centre.
   */
  private List<Candidate> draw(List<Candidate> candidates) {
    List<Candidate> drawn = new ArrayList<>();
    candidates.stream().filter(Candidate::hasReadPrompt).forEach(drawn::add);
    Map<Boolean, List<Candidate>> byDistance =
        candidates.stream().collect(Collectors.partitioningBy(Candidate::isFar));
    draw(byDistance.get(false), hosts.here(), drawn);
    draw(byDistance.get(true), hosts.all(), drawn);
    return drawn;
  }

  private void draw(List<Candidate> among, int choosing, List<Candidate> drawn) {
    int compared = HOSTS_THAT_COMPARE_ALL * among.size() / choosing;
    int count = Math.min(among.size(), Math.max(LEAST_COMPARED, compared));
    for (int index = 0; index < count; index++) {
      int other = context.random().nextInt(index, among.size());
      Collections.swap(among, index, other);
      drawn.add(among.get(index));
    }
  }

  private static Optional<Candidate> cheapest(List<Candidate> candidates) {
    Candidate best = null;
    double least = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      double cost = Consideration.sum(candidate);
      if (cost < least) {
        least = cost;
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private DataCentreDoubts doubts(ServiceName service) {
    return DataCentreDoubts.of(
        targets.known(service),
        target -> Evidence.of(target, loads.othersLoad(target.description().id()), context.now()),
        context.now());
  }
}
