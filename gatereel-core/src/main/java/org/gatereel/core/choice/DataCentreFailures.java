package org.gatereel.core.choice;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.target.TargetState;

/**
 * The data centres where lately more targets of a service failed than have worked since, and by how
 * many.
 *
 * <p>A target that nobody asked says nothing, and one that worked before the last failure beside it
 * may have ended with it: when all engines of a data centre end together, the first that is found
 * so stands against all that others were known to run there. A target found to have ended counts as
 * well: those beside it may have ended with it, which the list does not tell yet.
 */
final class DataCentreFailures {
  private final long now;
  private final Map<DataCentre, Long> lastFailures = new HashMap<>();
  private final Map<DataCentre, Integer> doubts = new HashMap<>();

  private DataCentreFailures(long now) {
    this.now = now;
  }

  /** Sums up what was seen of targets. */
  static DataCentreFailures of(
      Iterable<TargetState> targets, Function<TargetState, TargetHealth> seen, long now) {
    DataCentreFailures summed = new DataCentreFailures(now);
    Map<TargetState, TargetHealth> evidence = new HashMap<>();
    for (TargetState target : targets) {
      TargetHealth found = seen.apply(target);
      evidence.put(target, found);
      if (found.failed()) {
        summed.lastFailures.merge(dataCentre(target), found.failedAt(), Math::max);
      }
    }
    evidence.forEach(summed::count);
    return summed;
  }

  private static DataCentre dataCentre(TargetState target) {
    return target.description().dataCentre();
  }

  private void count(TargetState target, TargetHealth seen) {
    if (seen.failed()) {
      doubts.merge(dataCentre(target), 1, Integer::sum);
    } else if (workedSince(target, seen)) {
      doubts.merge(dataCentre(target), -1, Integer::sum);
    }
  }

  private boolean workedSince(TargetState target, TargetHealth seen) {
    return seen.workedSince(lastFailures.getOrDefault(dataCentre(target), Long.MIN_VALUE), now);
  }

  /**
   * Returns by how many targets the data centre of a target is doubted: 0 if it is not, or if the
   * target itself has worked since.
   */
  int of(TargetState target, TargetHealth seen) {
    return workedSince(target, seen) ? 0 : of(dataCentre(target));
  }

  /** Returns by how many targets a data centre is doubted, 0 if it is not. */
  int of(DataCentre dataCentre) {
    return Math.max(0, doubts.getOrDefault(dataCentre, 0));
  }
}
