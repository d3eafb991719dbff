package org.gatereel.core.generation;

import org.gatereel.core.target.TargetState;

/** One engine's try at a generation, from the tokens that were accepted when it began. */
final class Attempt {
  private final int number;
  private final TargetState target;
  private final long startedAt;
  private long lastSign;
  private boolean brought;

  Attempt(int number, TargetState target, long startedAt) {
    this.number = number;
    this.target = target;
    this.startedAt = startedAt;
    this.lastSign = startedAt;
  }

  int number() {
    return number;
  }

  TargetState target() {
    return target;
  }

  long startedAt() {
    return startedAt;
  }

  long lastSign() {
    return lastSign;
  }

  boolean hasBroughtToken() {
    return brought;
  }

  /** Notes a token; returns the gap since the one before, or -1 for the first. */
  long tokenAt(long now) {
    long gap = brought ? now - lastSign : -1;
    lastSign = now;
    brought = true;
    return gap;
  }

  /** Takes the silence up to now as not proved, because this host itself was paused. */
  void forgiveSilence(long now) {
    lastSign = now;
  }

  /** Returns how long the target may be silent at this stage. */
  long patience(SuspicionPolicy policy) {
    return brought ? policy.silenceMillis(target.tokenGaps()) : policy.firstTokenMillis();
  }
}
