package org.gatereel.daemon.control;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.gatereel.core.EntryHost;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.HostDescription;
import org.gatereel.daemon.events.EventLog;

/**
 * Runs the core on a single thread.
 *
 * <p>Events are passed to the core and its actions to the action handler on that thread only.
 */
public final class ControlLoop implements AutoCloseable {
  private static final long MAX_WAIT_MILLIS = 1_000;
  private static final int STOP_TIMEOUT_MILLIS = 2_000;

  private final EntryHost core;
  private final EventLog events;
  private final Consumer<Action> actionHandler;
  private final LinkedBlockingDeque<Runnable> tasks = new LinkedBlockingDeque<>();
  private final Thread thread = new Thread(this::run, "control");
  private final CountDownLatch started = new CountDownLatch(1);
  private volatile boolean closed;

  public ControlLoop(EntryHost core, EventLog events, Consumer<Action> actionHandler) {
    this.core = core;
    this.events = events;
    this.actionHandler = actionHandler;
    thread.setDaemon(true);
  }

  /** Starts the thread and the core with the given hosts as its initial peers. */
  public void start(List<HostDescription> seeds) {
    tasks.add(() -> execute(core.start(nowMillis(), seeds)));
    thread.start();
    started.countDown();
  }

  /**
   * Queues an event for the core.
   *
   * <p>Events are handled in order, except that a disconnect of a caller is handled before all
   * queued events. Otherwise the rest of a response would be recorded as delivered to it.
   */
  public void post(Event event) {
    Runnable handling = () -> execute(core.handle(event, nowMillis()));
    if (event instanceof Event.CallerDisconnected) {
      tasks.addFirst(handling);
    }
    // Also handled in order, since the request of the caller may still be queued.
    tasks.addLast(handling);
  }

  /** Evaluates a function of the core on the control thread. */
  public <T> CompletableFuture<T> query(Function<EntryHost, T> function) {
    CompletableFuture<T> result = new CompletableFuture<>();
    tasks.add(() -> result.complete(function.apply(core)));
    return result;
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private void run() {
    while (!closed) {
      try {
        Runnable next = tasks.poll(waitMillis(), TimeUnit.MILLISECONDS);
        if (next != null) {
          next.run();
        }
        if (isDue()) {
          execute(core.advance(nowMillis()));
        }
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        // The failure of one event must not stop the loop.
        events.logFailure("an event could not be handled", e);
      }
    }
  }

  private long waitMillis() {
    OptionalLong deadline = core.nextDeadline();
    long wait = deadline.isPresent() ? deadline.getAsLong() - nowMillis() : MAX_WAIT_MILLIS;
    return Math.max(0, Math.min(MAX_WAIT_MILLIS, wait));
  }

  private boolean isDue() {
    OptionalLong deadline = core.nextDeadline();
    return deadline.isPresent() && deadline.getAsLong() <= nowMillis();
  }

  private void execute(List<Action> actions) {
    actions.forEach(actionHandler);
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
