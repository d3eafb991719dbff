package org.gatereel.core.load;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.model.TargetId;

/**
 * The learnt times that were sent to one receiver.
 *
 * <p>A report carries a few of those that have changed noticeably, first the one that was sent the
 * longest time ago. The others follow with later reports, so that loads are not delayed.
 */
final class SentTimes {
  static final int MAX_PER_REPORT = 8;

  private static final Sent NOT_SENT = new Sent(TargetTimes.UNKNOWN, Long.MIN_VALUE);

  private final Map<TargetId, Sent> sentByTarget = new HashMap<>();

  private record Sent(TargetTimes times, long sequence) {}

  /**
   * Returns the times for the next report and records them as sent.
   *
   * @param afresh whether the receiver has discarded what was sent before
   * @param sequence the sequence of the report
   */
  Map<TargetId, TargetTimes> nextToSend(
      Map<TargetId, TargetTimes> current, boolean afresh, long sequence) {
    if (afresh) {
      sentByTarget.clear();
    }
    Map<TargetId, TargetTimes> next = new LinkedHashMap<>();
    Set<TargetId> candidates = new HashSet<>(current.keySet());
    candidates.addAll(sentByTarget.keySet());
    candidates.stream()
        .filter(target -> times(current, target).differsNoticeablyFrom(sent(target).times()))
        .sorted(Comparator.comparingLong(target -> sent(target).sequence()))
        .limit(MAX_PER_REPORT)
        .forEach(target -> next.put(target, times(current, target)));
    next.forEach((target, times) -> record(target, times, sequence));
    return next;
  }

  private static TargetTimes times(Map<TargetId, TargetTimes> current, TargetId target) {
    return current.getOrDefault(target, TargetTimes.UNKNOWN);
  }

  private Sent sent(TargetId target) {
    return sentByTarget.getOrDefault(target, NOT_SENT);
  }

  private void record(TargetId target, TargetTimes times, long sequence) {
    if (times.isKnown()) {
      sentByTarget.put(target, new Sent(times, sequence));
    } else {
      sentByTarget.remove(target);
    }
  }
}
