package org.gatereel.core.rollout;

import java.util.Map;

/**
 * Requests that all hosts sent to both versions, as far as it is known.
 *
 * @param toNewVersion those to the new version
 */
record SentRequests(long toNewVersion, long all) {
  /** Reports are up to a second old, so that half of what bears the load is not known yet. */
  private static final double LOADED_PART = 0.2;

  static SentRequests of(Map<EvidenceKey, ResponseTally> evidence) {
    long fresh = 0;
    long all = 0;
    for (var entry : evidence.entrySet()) {
      if (entry.getKey().signal() == Signal.SENT) {
        long sent = entry.getValue().responses();
        all += sent;
        fresh += entry.getKey().newVersion() ? sent : 0;
      }
    }
    return new SentRequests(fresh, all);
  }

  /** Returns whether the new version has had much more than a canary's part since another time. */
  boolean tookLoadSince(SentRequests before) {
    long since = all - before.all;
    return since > 0 && toNewVersion - before.toNewVersion >= LOADED_PART * since;
  }
}
