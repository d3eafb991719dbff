package org.gatereel.core.choice;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.target.TargetState;

/**
 * Counts, for each data centre, by how many targets of a service recent failures exceed recent
 * successes.
 *
 * <p>A success counts only if it is later than the last failure in the data centre. Targets without
 * recent requests are not counted. Targets that have ended count as failed, because others in the
 * data centre may have ended with them before the target list shows it. When all engines of a data
 * centre fail together, the first failure found thus outweighs the earlier successes of the others.
 */
final class DataCentreFailures {
  private final long now;
  private final Map<DataCentre, Long> lastFailures = new HashMap<>();
  private final Map<DataCentre, Integer> excessFailures = new HashMap<>();

  private DataCentreFailures(long now) {
    this.now = now;
  }

  static DataCentreFailures of(
      Iterable<TargetState> targets, Function<TargetState, TargetHealth> health, long now) {
    DataCentreFailures failures = new DataCentreFailures(now);
    Map<TargetState, TargetHealth> healthByTarget = new HashMap<>();
    for (TargetState target : targets) {
      TargetHealth targetHealth = health.apply(target);
      healthByTarget.put(target, targetHealth);
      if (targetHealth.failed()) {
        failures.lastFailures.merge(dataCentre(target), targetHealth.failedAt(), Math::max);
      }
    }
    healthByTarget.forEach(failures::count);
    return failures;
  }

  private static DataCentre dataCentre(TargetState target) {
    return target.description().dataCentre();
  }

  private void count(TargetState target, TargetHealth health) {
    if (health.failed()) {
      excessFailures.merge(dataCentre(target), 1, Integer::sum);
    } else if (workedSince(target, health)) {
      excessFailures.merge(dataCentre(target), -1, Integer::sum);
    }
  }

  private boolean workedSince(TargetState target, TargetHealth health) {
    return health.workedSince(lastFailures.getOrDefault(dataCentre(target), Long.MIN_VALUE), now);
  }

  /**
   * Returns the excess of failures in the data centre of a target; 0 if there is none or the target
   * itself has worked since the last failure.
   */
  int excess(TargetState target, TargetHealth health) {
    return workedSince(target, health) ? 0 : excess(dataCentre(target));
  }

  /** Returns the excess of failures in a data centre; 0 if there is none. */
  int excess(DataCentre dataCentre) {
    return Math.max(0, excessFailures.getOrDefault(dataCentre, 0));
  }
}
