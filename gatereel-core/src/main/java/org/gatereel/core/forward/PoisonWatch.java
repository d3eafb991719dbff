package org.gatereel.core.forward;

import com.google.common.base.Supplier;
import com.google.common.base.Suppliers;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.poison.PoisonFact;

/**
 * Watches whether targets end under one request, and tells what it has shown.
 *
 * <p>A run that broke as it began, or before it showed that it had begun, may have ended its
 * target; one that lasted has not. That other requests were at the same target is for {@link
 * PoisonControl} to weigh.
 */
final class PoisonWatch {
  /**
   * A run that broke by then had just begun: four times the longest that a target was seen to live
   * on, 120 ms. Ordinary runs broke 0.43 s or more after their beginning (30 of 30 on a day on
   * which nine in ten targets of a data centre ended each 6.5 s).
   */
  static final long BEGUN_MILLIS = 400;

  /** A run that goes on for so long after its beginning is not what targets end under. */
  static final long LASTING_MILLIS = 1_000;

  private final Forwarder forwarder;
  private final PoisonControl poison;
  private final Supplier<Fingerprint> fingerprint;
  private boolean lasted;

  /**
   * Makes a watch.
   *
   * @param fingerprint makes the request's fingerprint, once at the most
   */
  PoisonWatch(Forwarder forwarder, Supplier<Fingerprint> fingerprint) {
    this.forwarder = forwarder;
    this.poison = forwarder.poison();
    this.fingerprint = Suppliers.memoize(fingerprint);
  }

  Fingerprint fingerprint() {
    return fingerprint.get();
  }

  /** Returns whether no target may be sent the request. */
  boolean isHeld() {
    return poison.isQuarantined(fingerprint);
  }

  /** Returns what decided that the request is held back, for the log. */
  String reason() {
    return "request=" + fingerprint() + " ends=" + poison.endCount(fingerprint());
  }

  /** Notes that an attempt goes on. */
  void goesOn(Attempt attempt) {
    if (!lasted && ranMillis(attempt, now()) >= LASTING_MILLIS) {
      ranWell();
    }
  }

  /** Notes that a target has run the request to its end. */
  void ranWell() {
    lasted = true;
    poison.recordSuccess(fingerprint);
  }

  /**
   * Notes that an attempt broke.
   *
   * @param ran whether the target may have run the request
   */
  void broke(Attempt attempt, TargetFailure failure, boolean ran) {
    if (ran && mayHaveEndedTarget(attempt, failure)) {
      forwarder.targetEnds().broke(attempt.target(), fingerprint(), attempt.startedAt());
    }
  }

  /** Notes that the end of an attempt's connection was the end of its target. */
  void targetGone(Attempt attempt) {
    if (!lasted && ranMillis(attempt, attempt.endedAt()) <= BEGUN_MILLIS) {
      poison.recordEnd(
          PoisonFact.end(
              fingerprint(),
              attempt.target().description().id(),
              attempt.startedAt(),
              attempt.endedAt()));
    }
  }

  /** Where the target was probed for the end of its answer, its end is known or was not found. */
  private boolean mayHaveEndedTarget(Attempt attempt, TargetFailure failure) {
    boolean silent = failure == TargetFailure.TIMEOUT;
    boolean broken = silent || failure == TargetFailure.RESET;
    long until = silent ? attempt.lastSignAt() : now();
    boolean asItBegan = !lasted && ranMillis(attempt, until) <= BEGUN_MILLIS;
    return broken && asItBegan && !attempt.wasProbed();
  }

  /**
   * Runs a step now, or, if one end more may be enough to hold the request back, once it is known
   * whether the target that it was last at has ended.
   */
  void beforeNextTry(Attempt last, Runnable step) {
    if (poison.isNearQuarantine(fingerprint)) {
      forwarder.targetEnds().whenKnown(last.target(), step);
    } else {
      step.run();
    }
  }

  private static long ranMillis(Attempt attempt, long until) {
    return attempt.headAt().isPresent() ? until - attempt.headAt().getAsLong() : 0;
  }

  private long now() {
    return forwarder.context().now();
  }
}
