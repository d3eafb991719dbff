package org.gatereel.proofs.replay;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
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

  private final Rules rules;
  private final SplittableRandom random;
  private final BiConsumer<EngineModel, FatalContent> endedBy;
  private boolean stepping;
  private boolean slow;
  private long slowDrawnAt = Long.MIN_VALUE / 2;
  private long tokensRead;
  private long preemptions;

  /**
   * What an engine can do.
   *
   * @param relativeSpeed 1 for the usual speed
   * @param memoryTokens tokens of running requests; 0 for no limit, and then urgency is not looked
   *     at
   */
  record Rules(
      int queued,
      Script.EngineSpeed speed,
      double relativeSpeed,
      Script.Noise noise,
      long memoryTokens) {}

  /**
   * Makes an engine.
   *
   * @param random draws the moments in which it is slow
   * @param endedBy is told when a request ends the engine
   */
  EngineModel(
      VirtualTime time,
      TargetDescription description,
      Rules rules,
      SplittableRandom random,
      BiConsumer<EngineModel, FatalContent> endedBy) {
    super(time, description, rules.queued());
    this.rules = rules;
    this.random = random;
    this.endedBy = endedBy;
  }

  long tokensRead() {
    return tokensRead;
  }

  /** Returns how fast the engine is; 1 for the usual speed. */
  double relativeSpeed() {
    return rules.relativeSpeed();
  }

  /** Returns how often a request lost its memory to another one. */
  long preemptions() {
    return preemptions;
  }

  @Override
  List<Run> running() {
    return rules.memoryTokens() == 0
        ? super.running()
        : runs().stream().filter(run -> run.admitted).toList();
  }

  private static long tokensOf(Run run) {
    return run.prompt + run.tokens;
  }

  private long usedTokens() {
    return running().stream().mapToLong(EngineModel::tokensOf).sum();
  }

  /** Admits what waits, the more urgent first, and takes memory from the less urgent. */
  private void admit() {
    if (rules.memoryTokens() == 0) {
      return;
    }
    while (usedTokens() > rules.memoryTokens() && running().size() > 1) {
      preempt(lastToKeep());
    }
    Run next = firstWaiting();
    while (next != null) {
      boolean fits =
          running().size() < description().slots()
              && usedTokens() + tokensOf(next) <= rules.memoryTokens();
      if (fits) {
        next.admitted = true;
      } else if (!running().isEmpty() && lastToKeep().urgency > next.urgency) {
        preempt(lastToKeep());
      } else {
        return;
      }
      next = firstWaiting();
    }
  }

  private Run firstWaiting() {
    return runs().stream()
        .filter(run -> !run.admitted)
        .min(Comparator.comparingInt(run -> run.urgency))
        .orElse(null);
  }

  /** Returns the newest among the least urgent. */
  private Run lastToKeep() {
    Run last = null;
    for (Run run : running()) {
      last = last == null || run.urgency >= last.urgency ? run : last;
    }
    return last;
  }

  /** Its prompt and what it made are read again. */
  private void preempt(Run run) {
    preemptions++;
    run.admitted = false;
    run.promptLeft = run.prompt + run.tokens;
    runs().remove(run);
    runs().add(run);
  }

  private double slowness() {
    Script.Noise noise = rules.noise();
    if (time().millis() - slowDrawnAt >= noise.everyMillis()) {
      slowDrawnAt = time().millis();
      slow = random.nextDouble() < noise.share();
    }
    return (slow ? noise.times() : 1) / rules.relativeSpeed();
  }

  @Override
  void work() {
    if (stepping || runs().isEmpty()) {
      return;
    }
    stepping = true;
    admit();
    Run reading = running().stream().filter(run -> run.promptLeft > 0).findFirst().orElse(null);
    int piece = reading == null ? 0 : Math.min(rules.speed().pieceTokens(), reading.promptLeft);
    long begun = life();
    time()
        .after(
            Math.round(
                slowness() * (rules.speed().stepMicros() + piece * rules.speed().tokenMicros())),
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
    if (run.tokens % rules.speed().tokensAnEvent() != 0) {
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
