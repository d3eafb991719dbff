package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gatereel.core.internal.SuppressionDelay;
import org.gatereel.core.model.ServiceName;

/**
 * When this host writes a row. The reader, whose rows are the most recent, writes at once, and
 * other hosts after a random delay unless a row was read by then.
 */
final class WriteSchedule {
  /** The time after which a write without response is repeated. */
  private static final long RETRY_INTERVAL_MILLIS = 300;

  /** The maximum of the random delay before a host that is not a reader writes a decision. */
  private static final long MAX_DELAY_MILLIS = 400;

  private final RandomGenerator random;
  private final Map<ServiceName, Long> nextWriteAt = new HashMap<>();

  WriteSchedule(RandomGenerator random) {
    this.random = random;
  }

  /** Returns whether a row is to be written now; if so, it is next due after an interval. */
  boolean isDue(ServiceName service, boolean isReader, long now) {
    return isDue(service, now, isReader ? 0 : random.nextLong(MAX_DELAY_MILLIS));
  }

  /**
   * Returns whether a row that the store has lost is to be written again now. All hosts know it, so
   * most of them wait long: of any number of hosts few are due before the first one's row is read.
   */
  boolean isDueAgain(ServiceName service, boolean isReader, long now) {
    return isDue(service, now, isReader ? 0 : SuppressionDelay.next(random));
  }

  private boolean isDue(ServiceName service, long now, long delayMillis) {
    if (now < nextWriteAt.computeIfAbsent(service, any -> now + delayMillis)) {
      return false;
    }
    nextWriteAt.put(service, now + RETRY_INTERVAL_MILLIS);
    return true;
  }

  void remove(ServiceName service) {
    nextWriteAt.remove(service);
  }

  void clear() {
    nextWriteAt.clear();
  }
}
