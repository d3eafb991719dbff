package org.gatereel.core.generation;

import org.gatereel.core.target.TargetState;

/** One attempt of an engine to continue a generation from the tokens accepted at its start. */
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

  /** Returns the milliseconds since the previous token, or -1 for the first. */
  long recordToken(long now) {
    long gap = tokenReceived ? now - lastActivityAt : -1;
    lastActivityAt = now;
    tokenReceived = true;
    return gap;
  }

  /** Restarts the measured silence, because a pause of this host may have caused it. */
  void resetSilence(long now) {
    lastActivityAt = now;
  }

  long silenceLimitMillis(SuspicionPolicy policy) {
    return tokenReceived ? policy.silenceMillis(target.tokenGaps()) : policy.firstTokenMillis();
  }
}
