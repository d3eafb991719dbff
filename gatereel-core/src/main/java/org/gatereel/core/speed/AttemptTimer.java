package org.gatereel.core.speed;

import java.util.function.BooleanSupplier;

/** Takes the times of one attempt: of reading the prompt, of its events, or of a call. */
public final class AttemptTimer {
  /** Events that are timed together, since times are in whole milliseconds. */
  private static final int BATCH_EVENTS = 8;

  private static final double TOKENS_PER_UNIT = 1_000;

  /** The time of a shorter prompt is not that of reading it. */
  private static final long MIN_TIMED_TOKENS = 200;

  private final TargetTimer target;
  private final BooleanSupplier isReading;
  private final long promptTokens;
  private final int promptsAhead;
  private final long startedAt;
  private long batchStartedAt;
  private int batchEvents;
  private boolean batchAlone;
  private boolean started;

  /**
   * Makes the timer of an attempt that is sent now.
   *
   * @param isReading tells whether the target is reading a prompt, as far as this host knows
   * @param promptTokens the tokens that the target reads for this attempt
   * @param promptsAhead the prompts that the target reads before
   */
  AttemptTimer(
      TargetTimer target,
      BooleanSupplier isReading,
      long promptTokens,
      int promptsAhead,
      long startedAt) {
    this.target = target;
    this.isReading = isReading;
    this.promptTokens = promptTokens;
    this.promptsAhead = promptsAhead;
    this.startedAt = startedAt;
  }

  /** Records that events of the stream have arrived; {@code count} is the number of all so far. */
  public void recordEvents(long count, long now) {
    if (!started) {
      started = true;
      recordFirstEvent(now);
      startBatch(count, now);
    } else if (count - batchEvents >= BATCH_EVENTS) {
      recordBatch((int) count - batchEvents, now);
      startBatch(count, now);
    }
  }

  /** Records that a call has ended. */
  public void recordCall(long now) {
    target.work().record(now - startedAt, now);
  }

  private void recordFirstEvent(long now) {
    if (promptTokens >= MIN_TIMED_TOKENS) {
      double units = promptTokens / TOKENS_PER_UNIT;
      target.work().record((now - startedAt) / (units * promptsToRead(promptsAhead)), now);
    }
  }

  /** Returns how many prompts are read until the first event; half of the current one is left. */
  static double promptsToRead(int ahead) {
    return ahead == 0 ? 1 : ahead + 0.5;
  }

  private void startBatch(long count, long now) {
    batchEvents = (int) count;
    batchStartedAt = now;
    batchAlone = !isReading.getAsBoolean();
  }

  private void recordBatch(int events, long now) {
    if (batchAlone && !isReading.getAsBoolean()) {
      target.event().record((double) (now - batchStartedAt) / events, now);
    }
  }
}
