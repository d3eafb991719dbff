package org.gatereel.core.overload;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetState;

/**
 * Selects the engines that are reserved for the most urgent requests of a service.
 *
 * <p>All hosts select the same engines from their identifiers, as many as the most urgent requests
 * occupy on average and a margin. Requests of other ranks choose among the rest, so that hosts that
 * have not yet heard of one another's requests do not queue them before urgent ones.
 */
final class UrgentTargets {
  /** Engines in addition to those occupied on average, relative to them. */
  private static final double MARGIN_RATIO = 1.0;

  /** A margin also where urgent requests occupy a fraction of one engine. */
  private static final int MARGIN_TARGETS = 2;

  /** Leaves most engines to the other ranks. */
  private static final double MAX_RATIO = 0.3;

  private static final double MILLIS_PER_SECOND = 1_000;

  private UrgentTargets() {}

  /**
   * Returns the engines that are reserved.
   *
   * @param usable the usable engines of the service
   * @param urgentPerSecond how many of the most urgent requests arrive at all hosts
   * @param firstEventMillis how long one of them occupies an engine
   */
  static Set<TargetId> select(
      List<TargetState> usable, double urgentPerSecond, double firstEventMillis) {
    double occupied = urgentPerSecond * firstEventMillis / MILLIS_PER_SECOND;
    double wanted = Math.ceil(occupied * (1 + MARGIN_RATIO)) + MARGIN_TARGETS;
    long count = Math.round(Math.min(wanted, MAX_RATIO * usable.size()));
    Set<TargetId> selected = new HashSet<>();
    usable.stream()
        .map(target -> target.description().id())
        .sorted(Comparator.comparingInt(UrgentTargets::spread).thenComparing(TargetId::toString))
        .limit(occupied > 0 ? count : 0)
        .forEach(selected::add);
    return selected;
  }

  /** Mixes the bits of the identifier's hash, so that similar identifiers are not neighbours. */
  private static int spread(TargetId target) {
    int mixed = target.toString().hashCode() * 0x9E3779B9;
    return mixed ^ (mixed >>> 15);
  }
}
