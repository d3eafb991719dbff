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
 * Drives the core on the thread that also moves the bytes.
 *
 * <p>Entry hosts have less than one core; handing each event to another thread would cost a wake-up
 * and gain nothing. All methods are called on that thread.
 */
public final class ControlThread {
  private final EventLoop loop;
  private final CoreContext context;
  private final ForwardLog log;
  private final SuspensionDetector suspensions = new SuspensionDetector();
  private ScheduledFuture<?> scheduled;
  private long scheduledFor = Long.MAX_VALUE;
  private boolean running;

  public ControlThread(EventLoop loop, CoreContext context, ForwardLog log) {
    this.loop = loop;
    this.context = context;
    this.log = log;
  }

  /** Returns the steady clock in milliseconds. */
  public static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  public EventLoop loop() {
    return loop;
  }

  /** Runs a step of the core at the present time, then what has become due. */
  public void run(Runnable step) {
    if (running) {
      step.run();
      return;
    }
    running = true;
    try {
      moveClocks();
      step.run();
      context.timers().runDue(context.now());
    } catch (RuntimeException e) {
      // One event must not end the service of all others; the log has it for whoever is on call.
      log.failure("an event could not be handled", e);
    } finally {
      running = false;
    }
    logNotes();
    scheduleNext();
  }

  /** Brings the core's clocks up to the present time, also by what this host was suspended. */
  public void moveClocks() {
    long steadyMillis = nowMillis();
    long lost = suspensions.observe(steadyMillis, System.currentTimeMillis());
    context.advanceTo(steadyMillis);
    if (lost > 0) {
      context.recordSuspension(lost);
    }
  }

  private void logNotes() {
    for (Action action : context.takeActions()) {
      if (action instanceof Action.LogEvent note) {
        log.event(note.code(), note.subject(), note.detail());
      }
    }
  }

  private void scheduleNext() {
    OptionalLong deadline = context.timers().nextDeadline();
    if (deadline.isEmpty() || deadline.getAsLong() >= scheduledFor) {
      return;
    }
    if (scheduled != null) {
      scheduled.cancel(false);
    }
    scheduledFor = deadline.getAsLong();
    long delay = Math.max(0, scheduledFor - nowMillis());
    scheduled = loop.schedule(this::timeHasCome, delay, TimeUnit.MILLISECONDS);
  }

  private void timeHasCome() {
    scheduled = null;
    scheduledFor = Long.MAX_VALUE;
    run(() -> {});
  }
}
