package org.gatereel.core.room;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;

/** The failures of targets that this host has observed too recently for reports to include them. */
final class RecentFailures {
  private final long periodMillis;
  private final Map<TargetId, Failure> failures = new HashMap<>();

  private record Failure(ServiceName service, int openElsewhere, long at) {}

  /**
   * Starts without failures.
   *
   * @param periodMillis how long a failure is kept
   */
  RecentFailures(long periodMillis) {
    this.periodMillis = periodMillis;
  }

  /**
   * Records a failure.
   *
   * @param openElsewhere how many requests other hosts had open at the target
   */
  void record(TargetId target, ServiceName service, int openElsewhere, long now) {
    removeOld(now);
    failures.putIfAbsent(target, new Failure(service, openElsewhere, now));
  }

  boolean contains(TargetId target, long now) {
    removeOld(now);
    return failures.containsKey(target);
  }

  /** Returns how many requests other hosts had open at the failed targets of a service. */
  int openElsewhere(ServiceName service, long now) {
    removeOld(now);
    return failures.values().stream()
        .filter(failure -> failure.service().equals(service))
        .mapToInt(Failure::openElsewhere)
        .sum();
  }

  /**
   * Estimates the ratio of failed targets among those that this host has not used, from 0 to 1.
   *
   * <p>Several targets may fail at once, of which a host observes those that it uses. The first
   * failure is left out of the sample: it is the reason for the estimate, and is observed also if
   * no other target has failed. So the estimate is right in the mean over the requests that fail.
   *
   * @param usedTargets how many targets of the service this host uses that have not failed
   */
  double failedRatio(ServiceName service, long usedTargets, long now) {
    removeOld(now);
    long failed =
        failures.values().stream().filter(failure -> failure.service().equals(service)).count();
    return failed < 2 ? 0 : (failed - 1.0) / (failed - 1 + usedTargets);
  }

  private void removeOld(long now) {
    failures.values().removeIf(failure -> failure.at() < now - periodMillis);
  }
}
