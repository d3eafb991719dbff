package org.gatereel.core.target;

import java.util.List;
import java.util.random.RandomGenerator;
import org.gatereel.core.internal.Rendezvous;

/** How a target is chosen among those that are usable and have room. */
public enum PlacementPolicy {
  /** One after the other, by the number of requests this host has sent. */
  ROUND_ROBIN {
    @Override
    TargetState choose(
        List<TargetState> candidates, PlacementQuery query, RandomGenerator random, long sequence) {
      return candidates.get((int) Math.floorMod(sequence, (long) candidates.size()));
    }
  },
  /** The less loaded of two drawn at random, so that many hosts do not follow one late report. */
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
   * The target that the prompt's prefix always goes to, unless it is more loaded than the mean by a
   * quarter; then the next in the prefix's own order.
   */
  PREFIX_AFFINITY {
    @Override
    TargetState choose(
        List<TargetState> candidates, PlacementQuery query, RandomGenerator random, long sequence) {
      double total = candidates.stream().mapToDouble(t -> t.estimatedLoad(query.now())).sum();
      double bound = BOUND_FACTOR * (total + 1) / candidates.size();
      List<TargetState> ranked =
          Rendezvous.rank(
              query.affinityKey(), candidates, target -> target.description().id().value());
      return ranked.stream()
          .filter(target -> target.estimatedLoad(query.now()) <= bound)
          .findFirst()
          .orElseGet(() -> TWO_CHOICES.choose(candidates, query, random, sequence));
    }
  },
  /** The least loaded of all by this host's estimate; a baseline that herds. */
  LEAST_LOADED {
    @Override
    TargetState choose(
        List<TargetState> candidates, PlacementQuery query, RandomGenerator random, long sequence) {
      return candidates.stream()
          .min(java.util.Comparator.comparingDouble(t -> t.estimatedLoad(query.now())))
          .orElseThrow();
    }
  };

  private static final double BOUND_FACTOR = 1.25;

  /** Chooses one of {@code candidates}, of which there is at least one. */
  abstract TargetState choose(
      List<TargetState> candidates, PlacementQuery query, RandomGenerator random, long sequence);
}
