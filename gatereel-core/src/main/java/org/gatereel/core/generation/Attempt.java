package org.gatereel.core.generation;

import org.gatereel.core.target.TargetState;

/** One engine's try at a generation, from the tokens that were accepted when it began. */
final class Attempt {
  private final int number;
  private final TargetState target;
  private final long startedAt;
  private long lastActivityAt;
  private boolean tokenReceived;

  Attempt(int number, TargetState target, long startedAt) {
    this.number = number;
    this.target = target;
    this.startedAt = startedAt;
    this.lastActivityAt = startedAt;
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

  long lastActivityAt() {
    return lastActivityAt;
  }

  boolean hasReceivedToken() {
    return tokenReceived;
  }

  /** Notes a token; returns the gap since the one before, or -1 for the first. */
  long recordToken(long now) {
    long gap = tokenReceived ? now - lastActivityAt : -1;
    lastActivityAt = now;
    tokenReceived = true;
    return gap;
  }

  /** Takes the silence up to now as not proved, because this host itself was paused. */
  void resetSilence(long now) {
    lastActivityAt = now;
  }

  /** Returns how long the target may be silent at this stage. */
  long silenceLimitMillis(SuspicionPolicy policy) {
    return tokenReceived ? policy.silenceMillis(target.gaps()) : policy.firstTokenMillis();
  }
}
