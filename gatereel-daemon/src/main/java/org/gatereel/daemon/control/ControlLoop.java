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

/** The one thread for control state: it feeds the core with events and carries out its actions. */
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

  public ControlLoop(EntryHost core, EventLog events, Consumer<Action> runner) {
    this.core = core;
    this.events = events;
    this.actionHandler = runner;
    thread.setDaemon(true);
  }

  /** Starts the thread and the core. */
  public void start(List<HostDescription> seeds) {
    tasks.add(() -> execute(core.start(nowMillis(), seeds)));
    thread.start();
    started.countDown();
  }

  /**
   * Passes an event on to the core; returns at once.
   *
   * <p>Events are handled in their order, except that a caller who left is told of ahead of all
   * that waits: the rest of an answer would be taken for delivered to somebody who is not there.
   */
  public void post(Event event) {
    Runnable handling = () -> execute(core.handle(event, nowMillis()));
    if (event instanceof Event.CallerGone) {
      tasks.addFirst(handling);
    }
    // A caller's leaving comes again in its turn, since its request itself may still wait.
    tasks.addLast(handling);
  }

  /** Asks the core something, on its thread. */
  public <T> CompletableFuture<T> query(Function<EntryHost, T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    tasks.add(() -> answer.complete(question.apply(core)));
    return answer;
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
        // One event must not end the service of all others; the log has it for whoever is on call.
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
