package org.gatereel.forward.log;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.gatereel.core.event.EventCode;

/** Writes the structured log of a forwarding host to standard output, one event per line. */
public final class ForwardLog implements AutoCloseable {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final BoundedLogHandler handler;

  public ForwardLog(String host) {
    handler = new BoundedLogHandler(new FileOutputStream(FileDescriptor.out), host);
    Logger root = LogManager.getLogManager().getLogger("");
    for (Handler existingHandler : root.getHandlers()) {
      root.removeHandler(existingHandler);
    }
    root.addHandler(handler);
    root.setLevel(Level.INFO);
  }

  /** Logs an event of the event catalogue; its code tells its place, so that no stack is walked. */
  public void event(EventCode code, String subject, String detail) {
    LOGGER
        .atInfo()
        .withInjectedLogSite(LogSite.INVALID)
        .with(LogEvent.KEY, new LogEvent(code.number(), code.name(), subject, detail))
        .log("event");
  }

  /** Logs an internal error. */
  public void failure(String message, Throwable cause) {
    LOGGER.atSevere().withCause(cause).log("%s", message);
  }

  /** Returns the number of lines dropped because the output was too slow. */
  public long dropped() {
    return handler.dropped();
  }

  @Override
  public void close() {
    handler.close();
  }
}
