package org.gatereel.core.forward;

import com.google.common.base.Ascii;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;

/**
 * Runs the steps of one request: its acceptance, its timers and all callbacks that it waits for.
 *
 * <p>A step that throws ends its request, whose caller gets a response at once. Nothing is thrown
 * to the code that runs the step, so that other requests of the same event are handled.
 */
final class RequestSteps {
  private static final int MAX_ERROR_LENGTH = 200;
  private static final int MAX_LOGGED_FRAMES = 6;

  private final CoreContext context;
  private final ForwardObserver observer;
  private final String requestId;
  private Runnable ending;

  /**
   * Creates the steps of a request.
   *
   * @param ending ends the request after a step has thrown
   */
  RequestSteps(CoreContext context, ForwardObserver observer, String requestId, Runnable ending) {
    this.context = context;
    this.observer = observer;
    this.requestId = requestId;
    this.ending = ending;
  }

  /** Replaces what ends the request after a step has thrown. */
  void setEnding(Runnable newEnding) {
    ending = newEnding;
  }

  /** Runs a step; ends the request if it throws. */
  void run(Runnable step) {
    if (!tryRun(step)) {
      tryRun(ending);
    }
  }

  /** Returns the result of a step; if it throws, ends the request and returns empty. */
  <T> Optional<T> call(Supplier<Optional<T>> step) {
    try {
      return step.get();
    } catch (RuntimeException e) {
      report(e);
      tryRun(ending);
      return Optional.empty();
    }
  }

  /** Returns the result of a test; if it throws, ends the request and returns false. */
  boolean test(BooleanSupplier step) {
    return call(() -> Optional.of(step.getAsBoolean())).orElse(false);
  }

  /** Returns a callback that runs a step of the request. */
  <T> Consumer<T> callback(Consumer<T> step) {
    return result -> run(() -> step.accept(result));
  }

  /** Runs a step after a delay. */
  TimerQueue.Timer schedule(long delayMillis, Runnable step) {
    return context.schedule(delayMillis, () -> run(step));
  }

  /** Runs a step at a time in milliseconds. */
  TimerQueue.Timer scheduleAt(long time, Runnable step) {
    return context.timers().add(time, () -> run(step));
  }

  /** Runs part of an ending, without ending the request again; returns whether it succeeded. */
  boolean tryRun(Runnable part) {
    try {
      part.run();
      return true;
    } catch (RuntimeException e) {
      report(e);
      return false;
    }
  }

  private void report(RuntimeException failure) {
    String frames =
        Stream.of(failure.getStackTrace())
            .limit(MAX_LOGGED_FRAMES)
            .map(StackTraceElement::toString)
            .collect(Collectors.joining(","));
    context.logEvent(
        EventCode.STEP_FAILED,
        requestId,
        "error=" + Ascii.truncate(failure.toString(), MAX_ERROR_LENGTH, "...") + " at=" + frames);
    observer.recordStepFailure(failure);
  }
}
