package org.gatereel.core.document;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;

/**
 * Notices when the store has returned from an older copy of itself.
 *
 * <p>What the system wrote into the store after the copy was made is then lost. Operators and
 * targets write theirs again; hosts must do so too, and must not act on rows that the copy has
 * brought back.
 */
public final class StoreHistory {
  private final CoreContext context;
  private final List<LongConsumer> returnListeners = new ArrayList<>();
  private StoreReading latest;
  private long returns;

  StoreHistory(CoreContext context) {
    this.context = context;
  }

  /**
   * Adds a listener for returns. It is called before what was read is used, with the time when the
   * first query that shows the return was sent, by {@link CoreContext#nowIncludingSuspensions}.
   */
  public void onReturn(LongConsumer listener) {
    returnListeners.add(listener);
  }

  /** Returns how often the store has returned from a copy since this host's start. */
  public long returns() {
    return returns;
  }

  /**
   * Records a reading.
   *
   * @param source the host that passed it on, or the store
   */
  void record(StoreReading reading, String source) {
    if (latest == null) {
      latest = reading;
    } else if (reading.showsReturnSince(latest)) {
      StoreReading before = latest;
      latest = reading;
      returns++;
      context.logEvent(
          EventCode.STORE_RETURNED,
          reading.version().toString(),
          "known=" + before.version() + " source=" + source + " returns=" + returns);
      returnListeners.forEach(listener -> listener.accept(reading.queriedAt()));
    } else if (!reading.isOlderThan(latest)) {
      latest = reading.mergedWith(latest);
    }
  }
}
