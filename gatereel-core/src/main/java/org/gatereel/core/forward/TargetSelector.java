package org.gatereel.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Chooses targets for forwarded requests: the least loaded by this host's estimate, near ones first
 * among equals, those first that have probably read the prompt already, and those of a data centre
 * where most targets fail last.
 */
final class TargetSelector {
  private static final double FAR_PENALTY = 0.3;
  private static final double FAILING_PENALTY = 100;

  /** For each target of a data centre that failed lately beyond those that worked. */
  private static final double DOUBTED_DATA_CENTRE_PENALTY = 10;

  private static final long EVIDENCE_MILLIS = 1_500;
  private static final double COPY_LOAD = 0.3;

  /** Two prompts at one engine hold each other up, and all that runs there. */
  private static final double READING_LOAD = 2;

  private static final double JITTER = 0.25;

  private final CoreContext context;
  private final TargetRegistry targets;

  TargetSelector(CoreContext context, TargetRegistry targets) {
    this.context = context;
    this.targets = targets;
  }

  /**
   * Chooses a target for a run; one that fails just now only if there is no other.
   *
   * @param promptPart the part of the prompt that an engine may have read already
   */
  Optional<TargetState> choose(
      ServiceName service, Set<TargetId> without, Optional<String> promptPart) {
    return best(service, promptPart, target -> !without.contains(target.description().id()));
  }

  /**
   * Chooses who is to hold a copy of a run's memory: in another data centre than the runner.
   *
   * <p>A runner in another data centre than this host has its copy in this host's, so that one of
   * the two is within reach when the data centre is cut off.
   */
  Optional<TargetState> chooseCopyHolder(ServiceName service, TargetState runner) {
    DataCentre there = runner.description().dataCentre();
    DataCentre here = context.dataCentre();
    if (!there.equals(here)) {
      Optional<TargetState> near =
          best(service, Optional.empty(), target -> isSound(target, here, service));
      if (near.isPresent()) {
        return near;
      }
    }
    Optional<TargetState> apart =
        best(service, Optional.empty(), target -> !target.description().dataCentre().equals(there));
    return apart.isPresent() ? apart : best(service, Optional.empty(), target -> target != runner);
  }

  private boolean isSound(TargetState target, DataCentre dataCentre, ServiceName service) {
    return target.description().dataCentre().equals(dataCentre)
        && !target.isFailing(context.now())
        && !doubts(service).containsKey(dataCentre);
  }

  private Optional<TargetState> best(
      ServiceName service, Optional<String> promptPart, Predicate<TargetState> allowed) {
    List<TargetState> listed = targets.listed(service);
    Map<DataCentre, Integer> doubts = doubts(service);
    PromptAffinity affinity = PromptAffinity.of(promptPart, listed, context);
    TargetState best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (TargetState target : listed) {
      if (!allowed.test(target)) {
        continue;
      }
      double cost = cost(target, doubts) - affinity.bonus(target);
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the data centres where lately more targets failed than worked, and by how many.
   *
   * <p>Only what this host has seen itself counts: a target that it did not ask says nothing. A
   * host with few requests may have seen failures alone, so how many there were decides between
   * two. A target found to have ended counts as well: those beside it may have ended with it, which
   * the list does not tell yet.
   */
  private Map<DataCentre, Integer> doubts(ServiceName service) {
    Map<DataCentre, Integer> doubts = new HashMap<>();
    for (TargetState target : targets.known(service)) {
      doubts.merge(target.description().dataCentre(), -evidence(target), Integer::sum);
    }
    doubts.values().removeIf(failures -> failures <= 0);
    return doubts;
  }

  /** Returns 1 if the target worked lately, -1 if it failed since, 0 if neither is known. */
  private int evidence(TargetState target) {
    long since = context.now() - EVIDENCE_MILLIS;
    if (target.lastFailureAt() > since && target.lastFailureAt() >= target.lastSignAt()) {
      return -1;
    }
    return target.lastSignAt() > since ? 1 : 0;
  }

  private double cost(TargetState target, Map<DataCentre, Integer> doubts) {
    DataCentre there = target.description().dataCentre();
    double cost =
        target.estimatedLoad(context.now())
            + COPY_LOAD * target.copiesHere()
            + READING_LOAD * target.readingHere()
            + JITTER * context.random().nextDouble();
    if (!there.equals(context.dataCentre())) {
      cost += FAR_PENALTY;
    }
    if (target.isFailing(context.now())) {
      cost += FAILING_PENALTY;
    }
    if (evidence(target) <= 0) {
      cost += DOUBTED_DATA_CENTRE_PENALTY * doubts.getOrDefault(there, 0);
    }
    return cost;
  }
}
