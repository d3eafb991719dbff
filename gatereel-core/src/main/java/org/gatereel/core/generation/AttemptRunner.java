package org.gatereel.core.generation;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.action.Action;
import org.gatereel.core.admission.RetryBudget;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.Measurement;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.table.Row;
import org.gatereel.core.target.PlacementQuery;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Keeps an engine at work on each generation: starts attempts, replaces those that fail, and doubts
 * those that are silent.
 */
final class AttemptRunner {
  private static final long RETRY_MILLIS = 25;
  private static final long GIVE_UP_MILLIS = 20_000;
  private static final int MOST_LIVE_ATTEMPTS = 2;

  private final CoreContext context;
  private final PolicyTable table;
  private final TargetRegistry targets;
  private final ServiceBudgets budgets;
  private final Consumer<Generation> progress;
  private final Consumer<Generation> interrupted;
  private final Runnable targetFreed;

  AttemptRunner(
      CoreContext context,
      PolicyTable table,
      TargetRegistry targets,
      ServiceBudgets budgets,
      Consumer<Generation> progress,
      Consumer<Generation> interrupted,
      Runnable targetFreed) {
    this.context = context;
    this.table = table;
    this.targets = targets;
    this.budgets = budgets;
    this.progress = progress;
    this.interrupted = interrupted;
    this.targetFreed = targetFreed;
  }

  /** Starts the next attempt at a target that was already chosen. */
  void startAt(Generation generation, TargetState target) {
    Attempt attempt = new Attempt(generation.nextAttempt(), target, context.now());
    generation.attempts.put(attempt.number(), attempt);
    generation.workedAt(target.description().id());
    generation.interruptedAt = 0;
    targets.recordOpened(target);
    context.emit(
        new Action.StartAttempt(
            generation.spec, attempt.number(), target.description(), generation.tokensFrom(0)));
    String detail = "attempt " + attempt.number() + " at " + target.description().id();
    note(EventCode.ATTEMPT_STARTED, generation, detail + " from " + generation.length());
    watch(generation, attempt);
  }

  /** Goes on with a generation at whatever target can be had, even at a full one. */
  void resume(Generation generation, Optional<TargetId> preferred, Set<TargetId> without) {
    Optional<TargetState> target = chooseForResume(generation, preferred, without);
    if (target.isPresent()) {
      context.measure(
          Measurement.RESENT_TOKENS,
          generation.spec.service(),
          generation.arm,
          generation.length());
      startAt(generation, target.get());
    } else {
      retryLater(generation);
    }
  }

  private Optional<TargetState> chooseForResume(
      Generation generation, Optional<TargetId> preferred, Set<TargetId> without) {
    PlacementQuery query =
        new PlacementQuery(
            Placements.affinityKey(generation.spec.prompt()), preferred, false, context.now());
    Optional<Row> service = table.service(generation.spec.service());
    Optional<TargetState> free =
        service.flatMap(
            row ->
                targets.choose(
                    generation.spec.service(),
                    Placements.policy(row, generation.arm),
                    query,
                    without));
    return free.or(() -> leastLoaded(generation, without));
  }

  private Optional<TargetState> leastLoaded(Generation generation, Set<TargetId> without) {
    return targets.usable(generation.spec.service()).stream()
        .filter(target -> !without.contains(target.description().id()))
        .min(
            java.util.Comparator.comparingDouble(
                target -> target.estimatedLoad(context.now()) / target.description().slots()));
  }

  private void retryLater(Generation generation) {
    if (generation.interruptedAt == 0) {
      generation.interruptedAt = context.now();
    }
    if (context.now() - generation.interruptedAt > GIVE_UP_MILLIS) {
      interrupted.accept(generation);
      return;
    }
    generation.retry =
        context.after(
            RETRY_MILLIS,
            () -> {
              if (generation.attempts.isEmpty()) {
                resume(generation, Optional.empty(), Set.of());
              }
            });
  }

  /** Takes in a token; only the next one of a live attempt counts. */
  void token(Generation generation, Event.TokenArrived event) {
    Attempt attempt = generation.attempts.get(event.attempt());
    if (attempt == null) {
      return;
    }
    targets.recordResponse(attempt.target(), event.load());
    if (event.offset() < generation.length()) {
      return;
    }
    if (event.offset() > generation.length()) {
      failed(generation, attempt, TargetFailure.ERROR);
      return;
    }
    noteGap(generation, attempt);
    win(generation, attempt);
    generation.append(event.token());
    progress.accept(generation);
  }

  private void noteGap(Generation generation, Attempt attempt) {
    long gap = attempt.tokenAt(context.now());
    if (gap >= 0) {
      attempt.target().tokenGaps().addGap(gap);
      measure(generation, Measurement.TOKEN_GAP_MILLIS, gap);
      return;
    }
    String detail = "attempt " + attempt.number() + " at offset " + generation.length();
    note(EventCode.FIRST_TOKEN, generation, detail);
    if (generation.resumingSince > 0) {
      measure(generation, Measurement.RESUME_MILLIS, context.now() - generation.resumingSince);
    } else if (generation.length() == 0) {
      measure(generation, Measurement.FIRST_TOKEN_MILLIS, context.now() - generation.requestedAt);
    }
    generation.resumingSince = 0;
  }

  /** Ends all other attempts, because this one brought the next token or the end. */
  private void win(Generation generation, Attempt winner) {
    if (generation.attempts.size() == 1) {
      return;
    }
    note(EventCode.ATTEMPT_WON, generation, "attempt " + winner.number());
    generation.resumingSince = 0;
    generation.workedAt(winner.target().description().id());
    for (Attempt attempt : List.copyOf(generation.attempts.values())) {
      if (attempt != winner) {
        cancel(generation, attempt);
      }
    }
  }

  /** Takes in the end of an attempt that finished. */
  void finished(Generation generation, Event.AttemptFinished event) {
    Attempt attempt = generation.attempts.get(event.attempt());
    if (attempt == null) {
      return;
    }
    if (event.length() != generation.length()) {
      failed(generation, attempt, TargetFailure.ERROR);
      return;
    }
    win(generation, attempt);
    close(generation, attempt);
    generation.finish();
    note(EventCode.GENERATION_FINISHED, generation, generation.length() + " tokens");
    progress.accept(generation);
  }

  /** Takes in the failure of an attempt and starts another if none is left. */
  void failed(Generation generation, int number, TargetFailure failure) {
    Attempt attempt = generation.attempts.get(number);
    if (attempt != null) {
      failed(generation, attempt, failure);
    }
  }

  private void failed(Generation generation, Attempt attempt, TargetFailure failure) {
    note(
        EventCode.ATTEMPT_FAILED,
        generation,
        "attempt " + attempt.number() + ": " + failure + " after " + generation.length());
    cancel(generation, attempt);
    targets.recordFailure(attempt.target(), failure);
    if (!generation.attempts.isEmpty()) {
      return;
    }
    if (generation.resumingSince == 0) {
      generation.resumingSince = context.now();
    }
    resume(generation, Optional.empty(), Set.of(attempt.target().description().id()));
  }

  private void watch(Generation generation, Attempt attempt) {
    long patience = attempt.patience(suspicion(generation));
    context.timers().add(attempt.lastSign() + patience, () -> judge(generation, attempt));
  }

  private void judge(Generation generation, Attempt attempt) {
    if (generation.attempts.get(attempt.number()) != attempt) {
      return;
    }
    if (context.isPauseRecent()) {
      attempt.forgiveSilence(context.now());
    }
    boolean silent = context.now() - attempt.lastSign() >= attempt.patience(suspicion(generation));
    if (silent) {
      suspect(generation, attempt);
    } else {
      watch(generation, attempt);
    }
  }

  private void suspect(Generation generation, Attempt attempt) {
    Set<TargetId> without = new HashSet<>();
    generation.attempts.values().forEach(live -> without.add(live.target().description().id()));
    RetryBudget budget = budgets.of(generation.spec.service());
    Optional<TargetState> other = chooseForResume(generation, Optional.empty(), without);
    boolean possible = generation.attempts.size() < MOST_LIVE_ATTEMPTS && other.isPresent();
    if (possible && budget.tryAcquire()) {
      long silence = context.now() - attempt.lastSign();
      String detail = attempt.target().description().id() + " silent for " + silence + " ms";
      note(EventCode.ATTEMPT_SUSPECTED, generation, detail);
      generation.resumingSince = attempt.lastSign();
      measure(generation, Measurement.SECOND_ATTEMPTS, 1);
      measure(generation, Measurement.RESENT_TOKENS, generation.length());
      startAt(generation, other.get());
    }
    context.after(attempt.patience(suspicion(generation)), () -> judge(generation, attempt));
  }

  private SuspicionPolicy suspicion(Generation generation) {
    return table
        .service(generation.spec.service())
        .map(row -> row.choice(Column.SUSPICION, SuspicionPolicy.class))
        .orElse(SuspicionPolicy.BALANCED);
  }

  /** Moves a generation off a leaving target, if there is another one. */
  void moveOff(Generation generation, TargetState leaving) {
    for (Attempt attempt : List.copyOf(generation.attempts.values())) {
      TargetId id = leaving.description().id();
      boolean here = attempt.target() == leaving;
      if (here && chooseForResume(generation, Optional.empty(), Set.of(id)).isPresent()) {
        note(EventCode.ATTEMPT_MOVED, generation, "off " + id + " at " + generation.length());
        cancel(generation, attempt);
        if (generation.attempts.isEmpty()) {
          generation.resumingSince = context.now();
          resume(generation, Optional.empty(), Set.of(id));
        }
      }
    }
  }

  /** Ends all attempts of a generation. */
  void cancelAll(Generation generation) {
    List.copyOf(generation.attempts.values()).forEach(attempt -> cancel(generation, attempt));
    if (generation.retry != null) {
      generation.retry.cancel();
    }
  }

  private void cancel(Generation generation, Attempt attempt) {
    close(generation, attempt);
    context.emit(new Action.CancelAttempt(generation.spec.request(), attempt.number()));
  }

  private void close(Generation generation, Attempt attempt) {
    generation.attempts.remove(attempt.number());
    targets.recordClosed(attempt.target());
    targetFreed.run();
  }

  private void measure(Generation generation, Measurement measurement, long value) {
    context.measure(measurement, generation.spec.service(), generation.arm, value);
  }

  private void note(EventCode code, Generation generation, String detail) {
    context.note(code, generation.spec.request().value(), detail);
  }
}
