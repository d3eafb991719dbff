package org.gatereel.forward;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.action.Action;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.SuspensionDetector;
import org.gatereel.forward.log.ForwardLog;

/**
 * Runs the core on the event loop that also does the network I/O.
 *
 * <p>Entry hosts have less than one processor core, so another thread would add wake-ups without a
 * gain. All methods must be called on the event loop, except {@link #nowMillis} and {@link #loop}.
 *
 * <p>If the event loop stood still, timers wait until it has read from all connections: what has
 * arrived in time must not meet a time-out first.
 */
public final class ControlThread {
  /** A timer that is later than this shows that the host stood still. */
  private static final long MIN_RECORDED_DELAY_MILLIS = 500;

  /** The event loop reads from connections before it runs a task with any delay above 0. */
  private static final long NEXT_PASS_MILLIS = 1;

  private final EventLoop loop;
  private final CoreContext context;
  private final ForwardLog log;
  private final SuspensionDetector suspensionWatch = new SuspensionDetector();
  private ScheduledFuture<?> scheduledTask;
  private long scheduledAtMillis = Long.MAX_VALUE;
  private boolean inStep;
  private boolean readsBeforeTimers;

  public ControlThread(EventLoop loop, CoreContext context, ForwardLog log) {
    this.loop = loop;
    this.context = context;
    this.log = log;
  }

  /** Returns the monotonic clock in milliseconds. */
  public static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  public EventLoop loop() {
    return loop;
  }

  /**
   * Runs a step after all events that the event loop has received by now. A closed connection is
   * reported by a task that the event queues, so that the step is queued by a task too.
   */
  public void runAfterReceivedEvents(Runnable step) {
    loop.execute(() -> loop.execute(step));
  }

  /**
   * Runs a step of the core at the current time, then all timers that are due. A step that throws
   * is logged; it prevents neither the timers nor the step that it is nested in.
   */
  public void run(Runnable step) {
    run(step, () -> {});
  }

  /**
   * Runs a step of the core like {@link #run(Runnable)}.
   *
   * @param onFailure run if the step throws, to respond to whoever waits for its result
   */
  public void run(Runnable step, Runnable onFailure) {
    if (inStep) {
      runGuarded(step, onFailure);
      return;
    }
    runAsStep(
        () -> {
          recordDelay();
          runGuarded(step, onFailure);
          if (!readsBeforeTimers) {
            runDueTimers();
          }
        });
  }

  private void runAsStep(Runnable work) {
    inStep = true;
    try {
      updateClocks();
      work.run();
    } finally {
      inStep = false;
      finishStep();
    }
  }

  private void runGuarded(Runnable step, Runnable onFailure) {
    if (!tryRun(step)) {
      tryRun(onFailure);
    }
  }

  private boolean tryRun(Runnable step) {
    try {
      step.run();
      return true;
    } catch (RuntimeException e) {
      // A failed event must not prevent the handling of later ones.
      log.failure("an event could not be handled", e);
      return false;
    }
  }

  private void recordDelay() {
    long delayMillis = context.now() - context.timers().nextDeadline().orElse(context.now());
    if (delayMillis >= MIN_RECORDED_DELAY_MILLIS && !readsBeforeTimers) {
      context.recordDelay(delayMillis);
      readsBeforeTimers = true;
      loop.execute(
          () -> loop.schedule(this::onConnectionsRead, NEXT_PASS_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  private void onConnectionsRead() {
    readsBeforeTimers = false;
    runAsStep(this::runDueTimers);
  }

  private void runDueTimers() {
    boolean allRun;
    do {
      allRun = tryRun(() -> context.timers().runDue(context.now()));
    } while (!allRun);
  }

  private void finishStep() {
    try {
      logPendingEvents();
    } finally {
      scheduleNext();
    }
  }

  /** Sets the core's clocks to the current time, including any time this host was suspended. */
  public void updateClocks() {
    long monotonicMillis = nowMillis();
    long suspendedMillis = suspensionWatch.observe(monotonicMillis, System.currentTimeMillis());
    context.advanceTo(monotonicMillis);
    if (suspendedMillis > 0) {
      context.recordSuspension(suspendedMillis);
    }
  }

  /** Logs an internal error. */
  public void logFailure(String message, Throwable cause) {
    log.failure(message, cause);
  }

  private void logPendingEvents() {
    for (Action action : context.takeActions()) {
      if (action instanceof Action.LogEvent note) {
        log.event(note.code(), note.subject(), note.detail());
      }
    }
  }

  private void scheduleNext() {
    OptionalLong nextDeadline = context.timers().nextDeadline();
    if (readsBeforeTimers
        || nextDeadline.isEmpty()
        || nextDeadline.getAsLong() >= scheduledAtMillis) {
      return;
    }
    if (scheduledTask != null) {
      scheduledTask.cancel(false);
    }
    scheduledAtMillis = nextDeadline.getAsLong();
    long delayMillis = Math.max(0, scheduledAtMillis - nowMillis());
    scheduledTask = loop.schedule(this::onTimer, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void onTimer() {
    scheduledTask = null;
    scheduledAtMillis = Long.MAX_VALUE;
    run(() -> {});
  }
}
