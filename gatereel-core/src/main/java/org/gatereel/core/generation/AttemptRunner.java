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
 * Starts attempts for generations, replaces failed attempts, and starts a second attempt beside one
 * that is silent for too long.
 */
final class AttemptRunner {
  private static final long RETRY_INTERVAL_MILLIS = 25;
  private static final long NO_TARGET_TIMEOUT_MILLIS = 20_000;
  private static final int MAX_LIVE_ATTEMPTS = 2;

  private final CoreContext context;
  private final PolicyTable table;
  private final TargetRegistry targets;
  private final RetryBudgets budgets;
  private final Consumer<Generation> onProgress;
  private final Consumer<Generation> onInterrupted;
  private final Runnable onTargetFreed;

  AttemptRunner(
      CoreContext context,
      PolicyTable table,
      TargetRegistry targets,
      RetryBudgets budgets,
      Consumer<Generation> onProgress,
      Consumer<Generation> onInterrupted,
      Runnable onTargetFreed) {
    this.context = context;
    this.table = table;
    this.targets = targets;
    this.budgets = budgets;
    this.onProgress = onProgress;
    this.onInterrupted = onInterrupted;
    this.onTargetFreed = onTargetFreed;
  }

  /** Starts the next attempt at {@code target}. */
  void startAt(Generation generation, TargetState target) {
    Attempt attempt = new Attempt(generation.nextAttempt(), target, context.now());
    generation.attempts.put(attempt.number(), attempt);
    generation.setLastTarget(target.description().id());
    generation.noTargetSince = 0;
    targets.recordOpened(target);
    context.emit(
        new Action.StartAttempt(
            generation.spec, attempt.number(), target.description(), generation.tokensFrom(0)));
    String detail = "attempt " + attempt.number() + " at " + target.description().id();
    logEvent(EventCode.ATTEMPT_STARTED, generation, detail + " from " + generation.length());
    scheduleSilenceCheck(generation, attempt);
  }

  /** Resumes a generation at any usable target, even one without a free slot. */
  void resume(Generation generation, Optional<TargetId> preferred, Set<TargetId> excluded) {
    Optional<TargetState> target = chooseForResume(generation, preferred, excluded);
    if (target.isPresent()) {
      context.measure(
          Measurement.RESENT_TOKENS,
          generation.spec.service(),
          generation.variant,
          generation.length());
      startAt(generation, target.get());
    } else {
      retryLater(generation);
    }
  }

  private Optional<TargetState> chooseForResume(
      Generation generation, Optional<TargetId> preferred, Set<TargetId> excluded) {
    PlacementQuery query =
        new PlacementQuery(
            RequestPlacement.affinityKey(generation.spec.prompt()),
            preferred,
            false,
            context.now());
    Optional<Row> service = table.service(generation.spec.service());
    Optional<TargetState> free =
        service.flatMap(
            row ->
                targets.choose(
                    generation.spec.service(),
                    RequestPlacement.placementPolicy(row, generation.variant),
                    query,
                    excluded));
    return free.or(() -> leastLoaded(generation, excluded));
  }

  private Optional<TargetState> leastLoaded(Generation generation, Set<TargetId> excluded) {
    return targets.usable(generation.spec.service()).stream()
        .filter(target -> !excluded.contains(target.description().id()))
        .min(
            java.util.Comparator.comparingDouble(
                target -> target.estimatedLoad(context.now()) / target.description().slots()));
  }

  private void retryLater(Generation generation) {
    if (generation.noTargetSince == 0) {
      generation.noTargetSince = context.now();
    }
    if (context.now() - generation.noTargetSince > NO_TARGET_TIMEOUT_MILLIS) {
      onInterrupted.accept(generation);
      return;
    }
    generation.retryTimer =
        context.schedule(
            RETRY_INTERVAL_MILLIS,
            () -> {
              if (generation.attempts.isEmpty()) {
                resume(generation, Optional.empty(), Set.of());
              }
            });
  }

  /** Appends the next token of a live attempt; ignores tokens that were already accepted. */
  void handleToken(Generation generation, Event.TokenArrived event) {
    Attempt attempt = generation.attempts.get(event.attempt());
    if (attempt == null) {
      return;
    }
    targets.recordResponse(attempt.target(), event.load());
    if (event.offset() < generation.length()) {
      return;
    }
    if (event.offset() > generation.length()) {
      handleFailed(generation, attempt, TargetFailure.ERROR);
      return;
    }
    recordTokenGap(generation, attempt);
    cancelOthers(generation, attempt);
    generation.append(event.token());
    onProgress.accept(generation);
  }

  private void recordTokenGap(Generation generation, Attempt attempt) {
    long gap = attempt.recordToken(context.now());
    if (gap >= 0) {
      attempt.target().tokenGaps().addGap(gap);
      measure(generation, Measurement.TOKEN_GAP_MILLIS, gap);
      return;
    }
    String detail = "attempt " + attempt.number() + " at offset " + generation.length();
    logEvent(EventCode.FIRST_TOKEN, generation, detail);
    if (generation.resumingSince > 0) {
      measure(generation, Measurement.RESUME_MILLIS, context.now() - generation.resumingSince);
    } else if (generation.length() == 0) {
      measure(generation, Measurement.FIRST_TOKEN_MILLIS, context.now() - generation.requestedAt);
    }
    generation.resumingSince = 0;
  }

  /** Cancels all attempts but the one that delivered the next token or the end. */
  private void cancelOthers(Generation generation, Attempt winner) {
    if (generation.attempts.size() == 1) {
      return;
    }
    logEvent(EventCode.ATTEMPT_WON, generation, "attempt " + winner.number());
    generation.resumingSince = 0;
    generation.setLastTarget(winner.target().description().id());
    for (Attempt attempt : List.copyOf(generation.attempts.values())) {
      if (attempt != winner) {
        cancel(generation, attempt);
      }
    }
  }

  /**
   * Finishes the generation if the attempt ended at the accepted length; else fails the attempt.
   */
  void handleFinished(Generation generation, Event.AttemptFinished event) {
    Attempt attempt = generation.attempts.get(event.attempt());
    if (attempt == null) {
      return;
    }
    if (event.length() != generation.length()) {
      handleFailed(generation, attempt, TargetFailure.ERROR);
      return;
    }
    cancelOthers(generation, attempt);
    removeAttempt(generation, attempt);
    generation.finish();
    logEvent(EventCode.GENERATION_FINISHED, generation, generation.length() + " tokens");
    onProgress.accept(generation);
  }

  /** Removes a failed attempt and resumes the generation if no attempt is left. */
  void handleFailed(Generation generation, int number, TargetFailure failure) {
    Attempt attempt = generation.attempts.get(number);
    if (attempt != null) {
      handleFailed(generation, attempt, failure);
    }
  }

  private void handleFailed(Generation generation, Attempt attempt, TargetFailure failure) {
    logEvent(
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

  private void scheduleSilenceCheck(Generation generation, Attempt attempt) {
    long limitMillis = attempt.silenceLimitMillis(suspicionPolicy(generation));
    context
        .timers()
        .add(attempt.lastActivityAt() + limitMillis, () -> checkSilence(generation, attempt));
  }

  private void checkSilence(Generation generation, Attempt attempt) {
    if (generation.attempts.get(attempt.number()) != attempt) {
      return;
    }
    if (context.isPauseRecent()) {
      attempt.resetSilence(context.now());
    }
    boolean silent =
        context.now() - attempt.lastActivityAt()
            >= attempt.silenceLimitMillis(suspicionPolicy(generation));
    if (silent) {
      startSecondAttempt(generation, attempt);
    } else {
      scheduleSilenceCheck(generation, attempt);
    }
  }

  private void startSecondAttempt(Generation generation, Attempt attempt) {
    Set<TargetId> excluded = new HashSet<>();
    generation.attempts.values().forEach(live -> excluded.add(live.target().description().id()));
    RetryBudget budget = budgets.forService(generation.spec.service());
    Optional<TargetState> alternative = chooseForResume(generation, Optional.empty(), excluded);
    boolean canStart = generation.attempts.size() < MAX_LIVE_ATTEMPTS && alternative.isPresent();
    if (canStart && budget.tryAcquire()) {
      long silence = context.now() - attempt.lastActivityAt();
      String detail = attempt.target().description().id() + " silent for " + silence + " ms";
      logEvent(EventCode.ATTEMPT_SUSPECTED, generation, detail);
      generation.resumingSince = attempt.lastActivityAt();
      measure(generation, Measurement.SECOND_ATTEMPTS, 1);
      measure(generation, Measurement.RESENT_TOKENS, generation.length());
      startAt(generation, alternative.get());
    }
    context.schedule(
        attempt.silenceLimitMillis(suspicionPolicy(generation)),
        () -> checkSilence(generation, attempt));
  }

  private SuspicionPolicy suspicionPolicy(Generation generation) {
    return table
        .service(generation.spec.service())
        .map(row -> row.enumValue(Column.SUSPICION, SuspicionPolicy.class))
        .orElse(SuspicionPolicy.BALANCED);
  }

  /** Moves a generation from a draining target to another one, if there is one. */
  void moveAwayFrom(Generation generation, TargetState leavingTarget) {
    for (Attempt attempt : List.copyOf(generation.attempts.values())) {
      TargetId id = leavingTarget.description().id();
      boolean affected = attempt.target() == leavingTarget;
      if (affected && chooseForResume(generation, Optional.empty(), Set.of(id)).isPresent()) {
        logEvent(EventCode.ATTEMPT_MOVED, generation, "off " + id + " at " + generation.length());
        cancel(generation, attempt);
        if (generation.attempts.isEmpty()) {
          generation.resumingSince = context.now();
          resume(generation, Optional.empty(), Set.of(id));
        }
      }
    }
  }

  /** Cancels all attempts and the pending retry of a generation. */
  void cancelAll(Generation generation) {
    List.copyOf(generation.attempts.values()).forEach(attempt -> cancel(generation, attempt));
    if (generation.retryTimer != null) {
      generation.retryTimer.cancel();
    }
  }

  private void cancel(Generation generation, Attempt attempt) {
    removeAttempt(generation, attempt);
    context.emit(new Action.CancelAttempt(generation.spec.request(), attempt.number()));
  }

  private void removeAttempt(Generation generation, Attempt attempt) {
    generation.attempts.remove(attempt.number());
    targets.recordClosed(attempt.target());
    onTargetFreed.run();
  }

  private void measure(Generation generation, Measurement measurement, long value) {
    context.measure(measurement, generation.spec.service(), generation.variant, value);
  }

  private void logEvent(EventCode code, Generation generation, String detail) {
    context.logEvent(code, generation.spec.request().value(), detail);
  }
}
