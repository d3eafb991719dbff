package org.gatereel.core.target;

import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.DecayingCount;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.TargetDescription;

/**
 * The state of one target as this host knows it: its last load report, corrected by the requests
 * that this host opened and closed since.
 */
public final class TargetState {
  private static final long MIN_BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 5_000;
  private static final long REPORT_HALF_LIFE_MILLIS = 1_000;
  private static final int RESERVED_SLOTS_DIVISOR = 8;

  /** Longer than the pauses between intermittent errors of an engine. */
  private static final long ERROR_HALF_LIFE_MILLIS = 3_000;

  private final TokenGapEstimator tokenGaps = new TokenGapEstimator();
  private final DecayingCount errors = new DecayingCount(ERROR_HALF_LIFE_MILLIS);
  private final long firstSeenAt;
  private TargetDescription description;
  private boolean leaving;
  private int localOpenRequests;
  private int localCopies;
  private int localPrefills;
  private int reportedLoad;
  private int openAtReport;
  private long reportedAt;
  private long backoffUntil;
  private long backoffMillis = MIN_BACKOFF_MILLIS;
  private boolean failing;
  private long lastDataAt = Long.MIN_VALUE;
  private long lastFailureAt = Long.MIN_VALUE;
  private long lastRejectionAt = Long.MIN_VALUE;

  TargetState(TargetDescription description, long seenAt) {
    this.description = description;
    this.firstSeenAt = seenAt;
    this.leaving = description.state() == LifeState.LEAVING;
  }

  public TargetDescription description() {
    return description;
  }

  /** Returns when this host first knew of this incarnation of the target, in milliseconds. */
  public long firstSeenAt() {
    return firstSeenAt;
  }

  public TokenGapEstimator tokenGaps() {
    return tokenGaps;
  }

  public boolean isLeaving() {
    return leaving;
  }

  /** Returns how many requests this host has open at the target. */
  public int localOpenRequests() {
    return localOpenRequests;
  }

  boolean isUsable(long now) {
    return !leaving && !isFailing(now);
  }

  /** Returns whether the target is in backoff after a failure. */
  public boolean isFailing(long now) {
    return now < backoffUntil;
  }

  /** Marks the target as leaving, which is permanent; returns whether it was not marked before. */
  boolean markLeaving() {
    boolean first = !leaving;
    leaving = true;
    return first;
  }

  void update(TargetDescription latest) {
    description = latest;
  }

  /** Returns how many copies of this host's executions the target holds. */
  public int localCopies() {
    return localCopies;
  }

  /** Returns how many prompts of this host's requests the target is probably reading. */
  public int localPrefills() {
    return localPrefills;
  }

  /** Adds to the number of prompts that the target is reading; {@code change} may be negative. */
  public void adjustPrefills(int change) {
    localPrefills = Math.max(0, localPrefills + change);
  }

  /** Adds to the number of copies that the target holds; {@code change} may be negative. */
  public void adjustCopies(int change) {
    localCopies = Math.max(0, localCopies + change);
  }

  void recordOpened() {
    localOpenRequests++;
  }

  void recordClosed() {
    localOpenRequests = Math.max(0, localOpenRequests - 1);
  }

  /** Records an error response, which neither starts nor ends a backoff. */
  void recordError(long now) {
    errors.increment(now);
  }

  /**
   * Returns the exponentially decaying number of errors that this host received from the target.
   */
  public double localErrors(long now) {
    return errors.valueAt(now);
  }

  void recordLoad(int load, long now) {
    reportedLoad = load;
    openAtReport = localOpenRequests;
    reportedAt = now;
  }

  /**
   * Returns the estimated number of requests at the target.
   *
   * <p>The load report is corrected by the requests that this host opened and closed since. The
   * part of other hosts decays exponentially, because this host does not learn when their requests
   * end.
   */
  public double estimatedLoad(long now) {
    double otherHosts = Math.max(0, reportedLoad - openAtReport);
    double age = (double) (now - reportedAt) / REPORT_HALF_LIFE_MILLIS;
    return localOpenRequests + otherHosts * Math.pow(0.5, age);
  }

  /**
   * Returns whether the target has room for a request.
   *
   * @param overShare whether the client account exceeds its fair share, so that some slots are
   *     reserved for other accounts
   */
  boolean hasRoom(long now, boolean overShare) {
    int slots = description.slots();
    int reserve = overShare && slots > 1 ? Math.max(1, slots / RESERVED_SLOTS_DIVISOR) : 0;
    return estimatedLoad(now) < slots - reserve;
  }

  /**
   * Records a failure; a fault starts a backoff that doubles with each fault. Returns whether the
   * target was not failing before.
   */
  boolean recordFailure(TargetFailure failure, long now) {
    if (failure == TargetFailure.FULL) {
      // The response shows that requests of other hosts occupy all slots.
      recordLoad(description.slots() + localOpenRequests, now);
    }
    if (failure == TargetFailure.FULL || failure == TargetFailure.RESTING) {
      lastRejectionAt = now;
    }
    if (!failure.isFault()) {
      return false;
    }
    boolean first = !failing;
    failing = true;
    lastFailureAt = now;
    backoffUntil = now + backoffMillis;
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    return first;
  }

  /** Records that the target has announced its end, or that another target uses its address. */
  void recordGone(long now) {
    lastFailureAt = now;
  }

  public void recordDataReceived(long now) {
    lastDataAt = now;
  }

  /** Returns when this host last received bytes from the target, in milliseconds. */
  public long lastDataAt() {
    return lastDataAt;
  }

  /**
   * Returns when the target last rejected a request because it has no room or requests a backoff,
   * in milliseconds.
   */
  public long lastRejectionAt() {
    return lastRejectionAt;
  }

  /** Returns when the target last failed, in milliseconds. */
  public long lastFailureAt() {
    return lastFailureAt;
  }

  /** Forgets failures that this host's own network caused. */
  void retractFailures() {
    recordResponse();
    lastFailureAt = Long.MIN_VALUE;
  }

  /** Records a response, which ends the backoff; returns whether the target was failing. */
  boolean recordResponse() {
    boolean recovered = failing;
    failing = false;
    backoffUntil = 0;
    backoffMillis = MIN_BACKOFF_MILLIS;
    return recovered;
  }
}
