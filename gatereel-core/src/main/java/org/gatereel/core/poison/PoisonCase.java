package org.gatereel.core.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.model.TargetId;

/** What is known of one request under which targets ended. */
final class PoisonCase {
  private final Map<TargetId, Long> ends = new LinkedHashMap<>();
  private boolean sound;
  private boolean held;
  private long changedAt;

  /** Notes an end; returns whether it is news. */
  boolean end(TargetId target, long at) {
    if (sound || ends.containsKey(target)) {
      return false;
    }
    ends.put(target, at);
    changedAt = Math.max(changedAt, at);
    return true;
  }

  /** Notes that the request runs as it should; returns whether that is news. */
  boolean sound(long at) {
    changedAt = Math.max(changedAt, at);
    boolean news = !sound;
    sound = true;
    held = false;
    ends.clear();
    return news;
  }

  void hold() {
    held = true;
  }

  boolean isSound() {
    return sound;
  }

  boolean isHeld() {
    return held;
  }

  Set<TargetId> ends() {
    return ends.keySet();
  }

  /** Returns when the last fact was seen. */
  long changedAt() {
    return changedAt;
  }
}
