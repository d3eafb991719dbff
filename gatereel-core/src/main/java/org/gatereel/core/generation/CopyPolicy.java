package org.gatereel.core.generation;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;

/** Chooses the peer that holds the copy of a generation. */
public enum CopyPolicy {
  /** No copy: a generation is lost when its entry host ends. */
  NONE {
    @Override
    Optional<HostDescription> choose(
        List<HostDescription> reachable, DataCentre ownDataCentre, RandomGenerator random) {
      return Optional.empty();
    }
  },
  /** A peer in this data centre, or any if there is none. */
  SAME_HALL {
    @Override
    Optional<HostDescription> choose(
        List<HostDescription> reachable, DataCentre ownDataCentre, RandomGenerator random) {
      return choosePreferred(reachable, random, peer -> peer.dataCentre().equals(ownDataCentre));
    }
  },
  /** A peer in another data centre, or any if there is none. */
  OTHER_HALL {
    @Override
    Optional<HostDescription> choose(
        List<HostDescription> reachable, DataCentre ownDataCentre, RandomGenerator random) {
      return choosePreferred(reachable, random, peer -> !peer.dataCentre().equals(ownDataCentre));
    }
  };

  abstract Optional<HostDescription> choose(
      List<HostDescription> reachable, DataCentre ownDataCentre, RandomGenerator random);

  private static Optional<HostDescription> choosePreferred(
      List<HostDescription> reachable,
      RandomGenerator random,
      java.util.function.Predicate<HostDescription> preference) {
    List<HostDescription> preferred = reachable.stream().filter(preference).toList();
    List<HostDescription> candidates = preferred.isEmpty() ? reachable : preferred;
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }
}
