package org.gatereel.core.generation;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;

/** Which peer holds the copy of a generation. */
public enum CopyPolicy {
  /** No copy: an entry host that dies takes the generation with it. */
  NONE {
    @Override
    Optional<HostDescription> choose(
        List<HostDescription> reachable, DataCentre here, RandomGenerator random) {
      return Optional.empty();
    }
  },
  /** A peer in this data centre, or any if there is none. */
  SAME_HALL {
    @Override
    Optional<HostDescription> choose(
        List<HostDescription> reachable, DataCentre here, RandomGenerator random) {
      return choosePreferred(reachable, random, peer -> peer.dataCentre().equals(here));
    }
  },
  /** A peer in another data centre, or any if there is none. */
  OTHER_HALL {
    @Override
    Optional<HostDescription> choose(
        List<HostDescription> reachable, DataCentre here, RandomGenerator random) {
      return choosePreferred(reachable, random, peer -> !peer.dataCentre().equals(here));
    }
  };

  abstract Optional<HostDescription> choose(
      List<HostDescription> reachable, DataCentre here, RandomGenerator random);

  private static Optional<HostDescription> choosePreferred(
      List<HostDescription> reachable,
      RandomGenerator random,
      java.util.function.Predicate<HostDescription> wish) {
    List<HostDescription> wished = reachable.stream().filter(wish).toList();
    List<HostDescription> pool = wished.isEmpty() ? reachable : wished;
    return pool.isEmpty() ? Optional.empty() : Optional.of(pool.get(random.nextInt(pool.size())));
  }
}
