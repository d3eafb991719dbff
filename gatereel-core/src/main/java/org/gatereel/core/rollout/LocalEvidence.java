package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.ServiceName;

/** Counts this host's requests and responses of both versions during running rollouts. */
final class LocalEvidence {
  /**
   * A response is slow above this multiple of the mean time; responses of healthy targets are
   * seldom so slow.
   */
  private static final double SLOW_FACTOR = 3;

  /** With fewer times of the old version, no response counts as slow. */
  private static final long MIN_TIMED_RESPONSES = 10;

  private final Map<EvidenceKey, ResponseTally> tallies = new HashMap<>();

  Map<EvidenceKey, ResponseTally> tallies() {
    return tallies;
  }

  /** Removes the evidence of all other orders of a service. */
  void retainOrder(ServiceName service, long orderRevision) {
    tallies
        .keySet()
        .removeIf(key -> key.service().equals(service) && key.orderRevision() != orderRevision);
  }

  void recordSent(EvidenceKey key) {
    tallies.merge(key, new ResponseTally(1, 0, 0, 0), ResponseTally::plus);
  }

  /**
   * Records a response.
   *
   * @param reference the tally of the old version under this key, over all hosts
   */
  void recordResponse(EvidenceKey key, double millis, boolean failed, ResponseTally reference) {
    double logMillis = Math.log(Math.max(1, millis));
    boolean bad = failed || isSlow(millis, reference);
    ResponseTally tally =
        failed ? new ResponseTally(1, 1, 0, 0) : new ResponseTally(1, bad ? 1 : 0, 1, logMillis);
    tallies.merge(key, tally, ResponseTally::plus);
  }

  /** Records a request that was abandoned without response, if its time already counts as slow. */
  void recordAbandoned(EvidenceKey key, double millis, ResponseTally reference) {
    if (isSlow(millis, reference)) {
      tallies.merge(key, new ResponseTally(1, 1, 0, 0), ResponseTally::plus);
    }
  }

  private static boolean isSlow(double millis, ResponseTally reference) {
    return reference.timed() >= MIN_TIMED_RESPONSES
        && millis > SLOW_FACTOR * reference.meanMillis();
  }
}
