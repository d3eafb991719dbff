package org.gatereel.core.target;

import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.DecayingCount;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.TargetDescription;

/** What this host knows of one target: its lagged load report and what this host sent since. */
public final class TargetState {
  private static final long FIRST_BACKOFF_MILLIS = 200;
  private static final long LONGEST_BACKOFF_MILLIS = 5_000;
  private static final long REPORT_HALF_LIFE_MILLIS = 1_000;
  private static final int RESERVED_PART = 8;

  /** An error counts half after this time: longer than an engine that fails now and then pauses. */
  private static final long ERROR_HALF_LIFE_MILLIS = 3_000;

  private final GapTracker gaps = new GapTracker();
  private final DecayingCount errors = new DecayingCount(ERROR_HALF_LIFE_MILLIS);
  private final long seenAt;
  private TargetDescription description;
  private boolean leaving;
  private int openHere;
  private int copiesHere;
  private int readingHere;
  private int reportedLoad;
  private int openAtReport;
  private long reportedAt;
  private long failingUntil;
  private long backoffMillis = FIRST_BACKOFF_MILLIS;
  private boolean failing;
  private long lastSignAt = Long.MIN_VALUE;
  private long lastFailureAt = Long.MIN_VALUE;
  private long lastFullAt = Long.MIN_VALUE;

  TargetState(TargetDescription description, long seenAt) {
    this.description = description;
    this.seenAt = seenAt;
    this.leaving = description.state() == LifeState.LEAVING;
  }

  public TargetDescription description() {
    return description;
  }

  /** Returns when this host first knew of this run of the target. */
  public long seenAt() {
    return seenAt;
  }

  public GapTracker gaps() {
    return gaps;
  }

  public boolean isLeaving() {
    return leaving;
  }

  /** Returns how many requests this host has open at the target. */
  public int openHere() {
    return openHere;
  }

  boolean isUsable(long now) {
    return !leaving && !isFailing(now);
  }

  /** Returns whether the target is passed over because it failed lately. */
  public boolean isFailing(long now) {
    return now < failingUntil;
  }

  /** Marks the target as leaving for good; one that returns is another run, with another id. */
  boolean markLeaving() {
    boolean first = !leaving;
    leaving = true;
    return first;
  }

  void update(TargetDescription latest) {
    description = latest;
  }

  /** Returns how many copies of this host's runs the target holds. */
  public int copiesHere() {
    return copiesHere;
  }

  /** Returns how many prompts of this host's requests the target is probably reading. */
  public int readingHere() {
    return readingHere;
  }

  /** Notes that the target begins to read a prompt, or has read it or let it go. */
  public void noteReading(int change) {
    readingHere = Math.max(0, readingHere + change);
  }

  /** Notes that a copy is made at the target, or given up there. */
  public void noteCopies(int change) {
    copiesHere = Math.max(0, copiesHere + change);
  }

  void opened() {
    openHere++;
  }

  void closed() {
    openHere = Math.max(0, openHere - 1);
  }

  /** Notes that the target answered with an error, which says nothing of whether it lives. */
  void noteError(long now) {
    errors.increment(now);
  }

  /** Returns how many errors this host got from the target lately; old ones count less. */
  public double errorsHere(long now) {
    return errors.valueAt(now);
  }

  void reported(int load, long now) {
    reportedLoad = load;
    openAtReport = openHere;
    reportedAt = now;
  }

  /**
   * Returns the load that the target probably has now.
   *
   * <p>The report is corrected by what this host opened and closed since. The part that other hosts
   * caused fades, because nothing tells this host when their requests end.
   */
  public double estimatedLoad(long now) {
    double others = Math.max(0, reportedLoad - openAtReport);
    double age = (double) (now - reportedAt) / REPORT_HALF_LIFE_MILLIS;
    return openHere + others * Math.pow(0.5, age);
  }

  /**
   * Returns whether the target has room.
   *
   * @param overShare whether the last room is to be left for others, so that their small requests
   *     need not wait until a long one ends
   */
  boolean hasRoom(long now, boolean overShare) {
    int slots = description.slots();
    int reserve = overShare && slots > 1 ? Math.max(1, slots / RESERVED_PART) : 0;
    return estimatedLoad(now) < slots - reserve;
  }

  /** Passes the target over for a while that grows with each failure; returns whether it is new. */
  boolean failed(TargetFailure failure, long now) {
    if (failure == TargetFailure.FULL) {
      // The refusal is a load report in itself: others fill the target.
      reported(description.slots() + openHere, now);
    }
    if (failure == TargetFailure.FULL || failure == TargetFailure.RESTING) {
      lastFullAt = now;
    }
    if (!failure.isFault()) {
      return false;
    }
    boolean first = !failing;
    failing = true;
    lastFailureAt = now;
    failingUntil = now + backoffMillis;
    backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, backoffMillis * 2);
    return first;
  }

  /** Notes that the target said goodbye, or that another one answers at its address. */
  void noteGone(long now) {
    lastFailureAt = now;
  }

  /** Notes that bytes came from the target. */
  public void noteSign(long now) {
    lastSignAt = now;
  }

  /** Returns when bytes last came from the target. */
  public long lastSignAt() {
    return lastSignAt;
  }

  /** Returns when the target last answered that it has no room. */
  public long lastFullAt() {
    return lastFullAt;
  }

  /** Returns when the target last failed. */
  public long lastFailureAt() {
    return lastFailureAt;
  }

  /** Notes a sign of life; returns whether the target was failing. */
  boolean answered() {
    boolean recovered = failing;
    failing = false;
    failingUntil = 0;
    backoffMillis = FIRST_BACKOFF_MILLIS;
    return recovered;
  }
}
