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

  /**
   * What a response is slow in comparison with.
   *
   * @param oldVersion the tally of the old version, over all hosts
   * @param hostDelayMillis by how much this host itself may have delayed the response
   */
  record Reference(ResponseTally oldVersion, long hostDelayMillis) {
    private boolean isSlow(double millis) {
      return oldVersion.timed() >= MIN_TIMED_RESPONSES
          && millis - hostDelayMillis > SLOW_FACTOR * oldVersion.meanMillis();
    }
  }

  Map<EvidenceKey, ResponseTally> tallies() {
    return tallies;
  }

  /** Removes the evidence of all other orders of a service. */
  void retainOrder(ServiceName service, long orderRevision) {
    tallies
        .keySet()
        .removeIf(key -> key.service().equals(service) && key.orderRevision() != orderRevision);
  }

  /** Keeps the evidence of an order whose row has another revision now. */
  void changeRevision(ServiceName service, long before, long now) {
    for (var entry : Map.copyOf(tallies).entrySet()) {
      EvidenceKey key = entry.getKey();
      if (key.service().equals(service) && key.orderRevision() == before) {
        tallies.remove(key);
        tallies.put(key.withOrderRevision(now), entry.getValue());
      }
    }
  }

  void recordSent(EvidenceKey key) {
    tallies.merge(key, new ResponseTally(1, 0, 0, 0), ResponseTally::plus);
  }

  /**
   * Records a response.
   *
   * @param reference the times of the old version under this key
   */
  void recordResponse(EvidenceKey key, double millis, boolean failed, Reference reference) {
    double logMillis = Math.log(Math.max(1, millis));
    boolean bad = failed || reference.isSlow(millis);
    ResponseTally tally =
        failed ? new ResponseTally(1, 1, 0, 0) : new ResponseTally(1, bad ? 1 : 0, 1, logMillis);
    tallies.merge(key, tally, ResponseTally::plus);
  }

  /** Records a request that was abandoned without response, if its time already counts as slow. */
  void recordAbandoned(EvidenceKey key, double millis, Reference reference) {
    if (reference.isSlow(millis)) {
      tallies.merge(key, new ResponseTally(1, 1, 0, 0), ResponseTally::plus);
    }
  }
}
