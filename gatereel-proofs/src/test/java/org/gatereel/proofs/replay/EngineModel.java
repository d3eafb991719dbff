package org.gatereel.proofs.replay;

import java.util.List;
import java.util.function.BiConsumer;
import org.gatereel.core.model.TargetDescription;

/**
 * An engine that runs requests in steps: each gives every running request a token, and reads a
 * piece of the first prompt that waits beside them.
 */
final class EngineModel extends TargetModel {
  /** How long after an event a copy elsewhere has it, in microseconds. */
  private static final long COPY_LAG_MICROS = 300_000;

  /** How long a copy is kept after the last part of it came. */
  private static final long COPY_KEPT_MILLIS = 4_000;

  private static final int OK_STATUS = 200;

  private final Script.EngineSpeed speed;
  private final BiConsumer<EngineModel, FatalContent> endedBy;
  private boolean stepping;
  private long tokensRead;

  /**
   * Makes an engine.
   *
   * @param endedBy is told when a request ends the engine
   */
  EngineModel(
      VirtualTime time,
      TargetDescription description,
      int queued,
      Script.EngineSpeed speed,
      BiConsumer<EngineModel, FatalContent> endedBy) {
    super(time, description, queued);
    this.speed = speed;
    this.endedBy = endedBy;
  }

  long tokensRead() {
    return tokensRead;
  }

  @Override
  void work() {
    if (stepping || runs().isEmpty()) {
      return;
    }
    stepping = true;
    Run reading = running().stream().filter(run -> run.promptLeft > 0).findFirst().orElse(null);
    int piece = reading == null ? 0 : Math.min(speed.pieceTokens(), reading.promptLeft);
    long begun = life();
    time()
        .after(
            speed.stepMicros() + piece * speed.tokenMicros(),
            () -> {
              stepping = false;
              if (life() == begun) {
                finishStep(reading, piece);
              }
              work();
            });
  }

  private void finishStep(Run reading, int piece) {
    tokensRead += piece;
    for (Run run : List.copyOf(running())) {
      if (run == reading) {
        run.promptLeft -= piece;
      } else if (run.promptLeft == 0) {
        makeToken(run);
      }
    }
  }

  private void makeToken(Run run) {
    if (!run.started) {
      run.started = true;
      begin(run);
    }
    if (run.fatal.isPresent()) {
      return;
    }
    run.tokens++;
    if (run.tokens % speed.tokensAnEvent() != 0) {
      return;
    }
    run.event++;
    run.client.event(run.event);
    copy(run);
    if (run.event >= run.lastEvent) {
      runs().remove(run);
      run.client.ended();
    }
  }

  private void begin(Run run) {
    if (run.fatal.isEmpty() || run.fatal.get().headIsSent()) {
      run.client.head(OK_STATUS, false, true);
    }
    long begun = life();
    run.fatal.ifPresent(
        content ->
            time()
                .after(
                    FatalContent.LIVES_ON_MICROS,
                    () -> {
                      if (life() == begun && isAlive()) {
                        endedBy.accept(this, content);
                      }
                    }));
  }

  private void copy(Run run) {
    TargetModel holder = run.copyAt;
    if (holder == null || !holder.isAlive()) {
      return;
    }
    long holderLife = holder.life();
    time()
        .after(
            COPY_LAG_MICROS,
            () -> {
              if (holder.life() == holderLife) {
                holder.keepCopy(run.name, time().millis() + COPY_KEPT_MILLIS);
              }
            });
  }
}
