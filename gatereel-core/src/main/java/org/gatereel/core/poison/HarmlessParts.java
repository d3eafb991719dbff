package org.gatereel.core.poison;

import java.util.LinkedHashMap;
import java.util.Map;

/** The parts of prompts on which targets recently completed a response. */
final class HarmlessParts {
  /** Longer than the time between two requests with a part that is in common use. */
  private static final long TIMEOUT_MILLIS = 60_000;

  private static final int MAX_PARTS = 4_096;

  private final Map<Fingerprint, Long> provenAt =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Fingerprint, Long> eldest) {
          return size() > MAX_PARTS;
        }
      };

  void record(Fingerprint part, long now) {
    provenAt.put(part, now);
  }

  /** Returns whether a response on the part was completed within the last minute before a time. */
  boolean contains(Fingerprint part, long time) {
    Long proven = provenAt.get(part);
    return proven != null && time - proven <= TIMEOUT_MILLIS;
  }
}
