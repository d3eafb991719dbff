package org.gatereel.core.target;

import java.util.List;
import java.util.random.RandomGenerator;
import org.gatereel.core.internal.Rendezvous;

/** How a target is chosen among those that are usable and have room. */
public enum PlacementPolicy {
  /** Chooses targets in turn. */
  ROUND_ROBIN {
    @Override
    TargetState choose(
        List<TargetState> candidates, PlacementQuery query, RandomGenerator random, long sequence) {
      return candidates.get((int) Math.floorMod(sequence, (long) candidates.size()));
    }
  },
  /**
   * Chooses the less loaded of two random targets, so that hosts with the same outdated load report
   * do not all choose the same target.
   */
  TWO_CHOICES {
    @Override
    TargetState choose(
        List<TargetState> candidates, PlacementQuery query, RandomGenerator random, long sequence) {
      TargetState one = candidates.get(random.nextInt(candidates.size()));
      TargetState other = candidates.get(random.nextInt(candidates.size()));
      return other.estimatedLoad(query.now()) < one.estimatedLoad(query.now()) ? other : one;
    }
  },
  /**
   * Chooses the first target in the rendezvous order of the affinity key whose load is at most
   * {@link #MAX_LOAD_FACTOR} times the mean.
   */
  PREFIX_AFFINITY {
    @Override
    TargetState choose(
        List<TargetState> candidates, PlacementQuery query, RandomGenerator random, long sequence) {
      double total = candidates.stream().mapToDouble(t -> t.estimatedLoad(query.now())).sum();
      double maxLoad = MAX_LOAD_FACTOR * (total + 1) / candidates.size();
      List<TargetState> ranked =
          Rendezvous.rank(
              query.affinityKey(), candidates, target -> target.description().id().value());
      return ranked.stream()
          .filter(target -> target.estimatedLoad(query.now()) <= maxLoad)
          .findFirst()
          .orElseGet(() -> TWO_CHOICES.choose(candidates, query, random, sequence));
    }
  },
  /**
   * Chooses the target with the lowest estimated load. Only a baseline for comparisons, because all
   * hosts choose the same target.
   */
  LEAST_LOADED {
    @Override
    TargetState choose(
        List<TargetState> candidates, PlacementQuery query, RandomGenerator random, long sequence) {
      return candidates.stream()
          .min(java.util.Comparator.comparingDouble(t -> t.estimatedLoad(query.now())))
          .orElseThrow();
    }
  };

  private static final double MAX_LOAD_FACTOR = 1.25;

  /** Chooses one of {@code candidates}, which is not empty. */
  abstract TargetState choose(
      List<TargetState> candidates, PlacementQuery query, RandomGenerator random, long sequence);
}
