package org.gatereel.forward.http;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.gatereel.forward.ControlThread;

/**
 * Runs a task when nothing has happened on a connection for the idle timeout.
 *
 * <p>The timeout may change meanwhile. A caller may know the one at the last activity or the
 * current one, so the longer of the two counts.
 */
final class IdleTimer implements AutoCloseable {
  private final EventLoop loop;
  private final LongSupplier timeoutMillis;
  private final Runnable onExpired;
  private long activeAtMillis;
  private long promisedMillis;
  private ScheduledFuture<?> timer;
  private boolean closed;

  /** Makes a timer that starts with {@link #restart}. */
  IdleTimer(EventLoop loop, LongSupplier timeoutMillis, Runnable onExpired) {
    this.loop = loop;
    this.timeoutMillis = timeoutMillis;
    this.onExpired = onExpired;
  }

  /** Starts the period again. */
  void restart() {
    activeAtMillis = ControlThread.nowMillis();
    promisedMillis = timeoutMillis.getAsLong();
    if (timer == null && !closed) {
      schedule(promisedMillis);
    }
  }

  /** Returns the time since the period was started. */
  long idleMillis() {
    return ControlThread.nowMillis() - activeAtMillis;
  }

  private void schedule(long delayMillis) {
    timer = loop.schedule(this::check, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void check() {
    timer = null;
    long remainingMillis = Math.max(promisedMillis, timeoutMillis.getAsLong()) - idleMillis();
    if (remainingMillis > 0) {
      schedule(remainingMillis);
    } else {
      onExpired.run();
    }
  }

  @Override
  public void close() {
    closed = true;
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
