package org.gatereel.core.poison;

import java.util.LinkedHashMap;
import java.util.Map;

/** The requests, or parts of prompts, to which targets recently completed a response. */
final class RecentSuccesses {
  /** Longer than the time between two requests with a part that is in common use. */
  private static final long TIMEOUT_MILLIS = 60_000;

  private static final int MAX_FEATURES = 4_096;

  private final Map<Fingerprint, Long> succeededAt =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Fingerprint, Long> eldest) {
          return size() > MAX_FEATURES;
        }
      };

  void record(Fingerprint feature, long now) {
    succeededAt.put(feature, now);
  }

  /** Returns whether a response was completed within the last minute before a time, or later. */
  boolean contains(Fingerprint feature, long time) {
    return isSince(feature, time - TIMEOUT_MILLIS);
  }

  /** Returns whether a response was completed at a time or later. */
  boolean isSince(Fingerprint feature, long time) {
    Long last = succeededAt.get(feature);
    return last != null && last >= time;
  }
}
