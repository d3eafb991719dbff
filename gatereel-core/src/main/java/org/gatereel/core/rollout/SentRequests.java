package org.gatereel.core.rollout;

import java.util.Map;

/**
 * The requests that all hosts have sent, as far as reported.
 *
 * @param toNewVersion those to the new version
 * @param all those to any version
 */
record SentRequests(long toNewVersion, long all) {
  /**
   * Well above the canary ratio, and low enough to be reached while reports are outstanding. These
   * are up to a second old, so that half of the load may not be reported yet.
   */
  private static final double MIN_LOADED_RATIO = 0.2;

  static SentRequests of(Map<EvidenceKey, ResponseTally> evidence) {
    long toNewVersion = 0;
    long all = 0;
    for (var entry : evidence.entrySet()) {
      if (entry.getKey().signal() == Signal.SENT) {
        long sent = entry.getValue().responses();
        all += sent;
        toNewVersion += entry.getKey().newVersion() ? sent : 0;
      }
    }
    return new SentRequests(toNewVersion, all);
  }

  /** Returns whether the new version received much more than the canary ratio since then. */
  boolean tookLoadSince(SentRequests before) {
    long since = all - before.all;
    return since > 0 && toNewVersion - before.toNewVersion >= MIN_LOADED_RATIO * since;
  }
}
