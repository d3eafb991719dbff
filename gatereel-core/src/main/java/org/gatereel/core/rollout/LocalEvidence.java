package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.ServiceName;

/** What this host counted of both versions during the roll-outs that are running. */
final class LocalEvidence {
  /** "Several times slower" begins here; single answers of sound targets are seldom so slow. */
  private static final double SLOW_FACTOR = 3;

  /** Before so many times are known of the versions before, nothing is called slow. */
  private static final long ENOUGH_TIMES = 10;

  private final Map<EvidenceKey, ResponseTally> tallies = new HashMap<>();

  Map<EvidenceKey, ResponseTally> tallies() {
    return tallies;
  }

  /** Forgets what was counted during other orders of a service. */
  void retainOrder(ServiceName service, long orderRevision) {
    tallies
        .keySet()
        .removeIf(key -> key.service().equals(service) && key.orderRevision() != orderRevision);
  }

  /** Counts a request. */
  void recordSent(EvidenceKey key) {
    tallies.merge(key, new ResponseTally(1, 0, 0, 0), ResponseTally::plus);
  }

  /**
   * Counts an answer.
   *
   * @param usual what is known of the versions before under this key, of all hosts
   */
  void recordResponse(EvidenceKey key, double millis, boolean failed, ResponseTally usual) {
    double logMillis = Math.log(Math.max(1, millis));
    boolean bad = failed || isSlow(millis, usual);
    ResponseTally one =
        failed ? new ResponseTally(1, 1, 0, 0) : new ResponseTally(1, bad ? 1 : 0, 1, logMillis);
    tallies.merge(key, one, ResponseTally::plus);
  }

  /** Counts an answer that was given up after a time, if that alone says that it was slow. */
  void recordAbandoned(EvidenceKey key, double millis, ResponseTally usual) {
    if (isSlow(millis, usual)) {
      tallies.merge(key, new ResponseTally(1, 1, 0, 0), ResponseTally::plus);
    }
  }

  private static boolean isSlow(double millis, ResponseTally usual) {
    return usual.timed() >= ENOUGH_TIMES && millis > SLOW_FACTOR * usual.meanMillis();
  }
}
