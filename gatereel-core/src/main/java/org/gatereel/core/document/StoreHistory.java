package org.gatereel.core.document;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
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
  private final List<Runnable> returnListeners = new ArrayList<>();
  private final Map<DocumentKind, List<Runnable>> documentListeners =
      new EnumMap<>(DocumentKind.class);
  private final Map<DocumentKind, StoreReading> latestOfDocuments =
      new EnumMap<>(DocumentKind.class);
  private StoreReading latest;
  private long returns;

  StoreHistory(CoreContext context) {
    this.context = context;
  }

  /** Adds a listener for returns. It is called before what was read is used. */
  public void onReturn(Runnable listener) {
    returnListeners.add(listener);
  }

  /**
   * Adds a listener for the first reading of a document after a return, which is called before that
   * reading is used. Documents are read apart, so that a return may show in another one earlier or
   * later.
   */
  public void onReturnOf(DocumentKind kind, Runnable listener) {
    documentListeners.computeIfAbsent(kind, any -> new ArrayList<>()).add(listener);
  }

  /** Returns how often the store has returned from a copy since this host's start. */
  public long returns() {
    return returns;
  }

  /** Returns whether a reading of a later era than that of the given version is known. */
  boolean knowsLaterEraThan(StoreVersion version) {
    return latest != null && latest.version().isOfLaterEraThan(version);
  }

  /**
   * Records a reading of a document.
   *
   * @param source the host that passed it on, or the store
   */
  void record(DocumentKind kind, StoreReading reading, String source) {
    recordOfStore(reading, source);
    StoreReading before = latestOfDocuments.get(kind);
    if (before == null || reading.showsReturnSince(before)) {
      latestOfDocuments.put(kind, reading);
    } else if (!reading.isOlderThan(before)) {
      latestOfDocuments.put(kind, reading.mergedWith(before));
    }
    if (before != null && reading.showsReturnSince(before)) {
      notify(documentListeners.getOrDefault(kind, List.of()));
    }
  }

  private void recordOfStore(StoreReading reading, String source) {
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
      notify(returnListeners);
    } else if (!reading.isOlderThan(latest)) {
      latest = reading.mergedWith(latest);
    }
  }

  /** One part that fails must keep neither the others nor the reading from being used. */
  private void notify(List<Runnable> listeners) {
    for (Runnable listener : listeners) {
      try {
        listener.run();
      } catch (RuntimeException e) {
        context.logEvent(EventCode.RETURN_LISTENER_FAILED, "returns=" + returns, e.toString());
      }
    }
  }
}
