package org.gatereel.core.rollout;

import java.util.Map;
import org.apache.commons.statistics.distribution.HypergeometricDistribution;

/**
 * Compares the answers of two versions that came at the same time, route by route.
 *
 * <p>Both versions are taken for alike, and the chance is computed that so many of the bad answers
 * fall to the new one (Fisher's exact test, one-sided). It makes no difference how many answers of
 * a route are errors at any time: 14 in 100 do no harm where the version before makes as many.
 */
final class VersionComparison {
  /**
   * Looked at after each answer, some 100 times a roll-out, with this bound 2 in 1,000 good
   * versions are called bad (VersionComparisonTest prints the table).
   */
  private static final double BAD_CHANCE = 0.0005;

  /**
   * Looked at once, when it is to be decided: of good versions 2 in 100 are not completed at most,
   * and of those that spoil a quarter of the answers 2 in 100 are (VersionComparisonTest).
   */
  private static final double SUSPECT_CHANCE = 0.03;

  /** Fewer bad answers than this are no pattern. */
  private static final long LEAST_BAD = 3;

  /** A difference that users would not notice is no reason to go back. */
  private static final double LEAST_DIFFERENCE = 0.05;

  /** With fewer answers of a signal nothing is completed. */
  private static final long ENOUGH_ANSWERS = 8;

  /** A route that has fewer answers asks for no more than this part of them. */
  private static final double ENOUGH_PART = 0.02;

  private VersionComparison() {}

  /** Judges a version by all that was counted during one order: by the worst that it shows. */
  static VersionVerdict compare(Map<EvidenceKey, ResponseTally> evidence) {
    VersionVerdict worst = new VersionVerdict(VersionVerdict.Kind.GOOD, "no worse on any route");
    boolean enough = false;
    for (EvidenceKey key : evidence.keySet()) {
      if (key.signal() == Signal.SENT) {
        continue;
      }
      ResponseTally before = evidence.getOrDefault(key.withNewVersion(false), ResponseTally.NONE);
      ResponseTally fresh = evidence.getOrDefault(key.withNewVersion(true), ResponseTally.NONE);
      enough |= fresh.responses() >= ENOUGH_ANSWERS;
      VersionVerdict verdict = compare(key, before, fresh);
      if (verdict.kind().compareTo(worst.kind()) < 0) {
        worst = verdict;
      }
    }
    return worst.kind() == VersionVerdict.Kind.GOOD && !enough ? VersionVerdict.UNKNOWN : worst;
  }

  private static VersionVerdict compare(
      EvidenceKey key, ResponseTally before, ResponseTally fresh) {
    double chance = chance(before, fresh);
    String reason =
        "route=%s signal=%s bad=%d of=%d before=%d of=%d chance=%.5f"
            .formatted(
                key.route(),
                key.signal(),
                fresh.bad(),
                fresh.responses(),
                before.bad(),
                before.responses(),
                chance);
    boolean worse = fresh.badRatio() > before.badRatio() + LEAST_DIFFERENCE;
    if (worse && chance < BAD_CHANCE && fresh.bad() >= LEAST_BAD) {
      return new VersionVerdict(VersionVerdict.Kind.BAD, reason);
    }
    if (worse && chance < SUSPECT_CHANCE) {
      return new VersionVerdict(VersionVerdict.Kind.SUSPECT, reason);
    }
    long all = before.responses() + fresh.responses();
    long needed = Math.min(ENOUGH_ANSWERS, (long) Math.ceil(ENOUGH_PART * all));
    return fresh.responses() < needed
        ? new VersionVerdict(VersionVerdict.Kind.UNKNOWN, reason)
        : new VersionVerdict(VersionVerdict.Kind.GOOD, reason);
  }

  /** Returns the chance of as many bad answers or more if both versions are alike. */
  private static double chance(ResponseTally before, ResponseTally fresh) {
    long all = before.responses() + fresh.responses();
    long bad = before.bad() + fresh.bad();
    if (fresh.bad() == 0 || all > Integer.MAX_VALUE) {
      return 1;
    }
    HypergeometricDistribution alike =
        HypergeometricDistribution.of((int) all, (int) bad, (int) fresh.responses());
    return alike.survivalProbability((int) fresh.bad() - 1);
  }
}
