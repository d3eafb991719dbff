package org.gatereel.core.load;

import java.util.Collection;
import java.util.Map;
import org.gatereel.core.model.TargetId;

/**
 * The learnt times that were sent to one receiver.
 *
 * <p>A report carries a few of those that have changed noticeably. The others follow with later
 * reports, so that loads are not delayed.
 */
final class SentTimes {
  static final int MAX_PER_REPORT = 8;

  private final SentValues<TargetId, TargetTimes> values =
      new SentValues<>(
          TargetTimes.UNKNOWN, (sent, current) -> current.differsNoticeablyFrom(sent) ? 1 : 0);

  /** Sends all times again, because the receiver has discarded them. */
  void restart() {
    values.restart();
  }

  /** Returns the targets whose times the next report is to carry. */
  Collection<TargetId> changedTargets(Map<TargetId, TargetTimes> current, long now) {
    return values.first(values.changedKeys(current, now), current, MAX_PER_REPORT);
  }

  /** Returns the current times of some targets and records them as sent. */
  Map<TargetId, TargetTimes> send(
      Collection<TargetId> targets, Map<TargetId, TargetTimes> current) {
    return values.send(targets, current);
  }

  /**
   * Returns the times for the next report and records them as sent.
   *
   * @param afresh whether the receiver has discarded what was sent before
   */
  Map<TargetId, TargetTimes> nextToSend(
      Map<TargetId, TargetTimes> current, boolean afresh, long now) {
    if (afresh) {
      restart();
    }
    return values.send(changedTargets(current, now), current);
  }
}
