package org.gatereel.core.rollout;

import java.util.Map;
import org.apache.commons.statistics.distribution.HypergeometricDistribution;

/**
 * Compares the responses of two versions over the same period, by route and signal.
 *
 * <p>Uses Fisher's exact test, one-sided: the probability that at least as many of the bad
 * responses are of the new version if both versions are alike. The result depends on the difference
 * between the versions, not on the error ratio of a route.
 */
final class VersionComparison {
  /**
   * The significance level for BAD. The test is repeated after each response, some 100 times in a
   * rollout; at this level at most 2 of 1,000 good versions are found bad (VersionComparisonTest).
   */
  private static final double BAD_PROBABILITY = 0.0005;

  /**
   * The significance level for SUSPECT, which is evaluated once, at the decision. At this level at
   * most 2 of 100 good versions are not completed, and at most 2 of 100 are completed that spoil a
   * quarter of the responses (VersionComparisonTest).
   */
  private static final double SUSPECT_PROBABILITY = 0.03;

  /** Fewer bad responses show no pattern. */
  private static final long MIN_BAD_RESPONSES = 3;

  /** Smaller differences of the bad ratios are ignored, since users would not notice them. */
  private static final double MIN_BAD_RATIO_DIFFERENCE = 0.05;

  /** The responses of the new version that are needed on a route and signal. */
  private static final long MIN_RESPONSES = 8;

  /** On rare routes, this ratio of the responses of both versions is enough. */
  private static final double MIN_RESPONSE_RATIO = 0.02;

  private VersionComparison() {}

  /** Returns the worst result over all routes and signals in the evidence of one order. */
  static VersionVerdict compare(Map<EvidenceKey, ResponseTally> evidence) {
    VersionVerdict worst = new VersionVerdict(VersionVerdict.Kind.GOOD, "no worse on any route");
    boolean enough = false;
    for (EvidenceKey key : evidence.keySet()) {
      if (key.signal() == Signal.SENT) {
        continue;
      }
      ResponseTally oldTally = evidence.getOrDefault(key.withNewVersion(false), ResponseTally.NONE);
      ResponseTally newTally = evidence.getOrDefault(key.withNewVersion(true), ResponseTally.NONE);
      enough |= newTally.responses() >= MIN_RESPONSES;
      VersionVerdict verdict = compare(key, oldTally, newTally);
      if (verdict.kind().compareTo(worst.kind()) < 0) {
        worst = verdict;
      }
    }
    return worst.kind() == VersionVerdict.Kind.GOOD && !enough ? VersionVerdict.UNKNOWN : worst;
  }

  private static VersionVerdict compare(
      EvidenceKey key, ResponseTally oldTally, ResponseTally newTally) {
    double probability = probability(oldTally, newTally);
    String reason =
        "route=%s signal=%s bad=%d of=%d before=%d of=%d chance=%.5f"
            .formatted(
                key.route(),
                key.signal(),
                newTally.bad(),
                newTally.responses(),
                oldTally.bad(),
                oldTally.responses(),
                probability);
    boolean worse = newTally.badRatio() > oldTally.badRatio() + MIN_BAD_RATIO_DIFFERENCE;
    if (worse && probability < BAD_PROBABILITY && newTally.bad() >= MIN_BAD_RESPONSES) {
      return new VersionVerdict(VersionVerdict.Kind.BAD, reason);
    }
    if (worse && probability < SUSPECT_PROBABILITY) {
      return new VersionVerdict(VersionVerdict.Kind.SUSPECT, reason);
    }
    long all = oldTally.responses() + newTally.responses();
    long needed = Math.min(MIN_RESPONSES, (long) Math.ceil(MIN_RESPONSE_RATIO * all));
    return newTally.responses() < needed
        ? new VersionVerdict(VersionVerdict.Kind.UNKNOWN, reason)
        : new VersionVerdict(VersionVerdict.Kind.GOOD, reason);
  }

  /** Returns the probability of at least as many bad responses if both versions are alike. */
  private static double probability(ResponseTally oldTally, ResponseTally newTally) {
    long all = oldTally.responses() + newTally.responses();
    long bad = oldTally.bad() + newTally.bad();
    if (newTally.bad() == 0 || all > Integer.MAX_VALUE) {
      return 1;
    }
    HypergeometricDistribution distribution =
        HypergeometricDistribution.of((int) all, (int) bad, (int) newTally.responses());
    return distribution.survivalProbability((int) newTally.bad() - 1);
  }
}
