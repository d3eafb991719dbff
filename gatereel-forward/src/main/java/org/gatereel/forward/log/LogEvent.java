package org.gatereel.forward.log;

import com.google.common.flogger.MetadataKey;

/** The metadata of a log line for an event of the event catalogue. */
public record LogEvent(int number, String name, String subject, String detail) {
  public static final MetadataKey<LogEvent> KEY = new UnformattedKey();

  /** Keeps the event out of the message, which is formatted at once; the formatter writes it. */
  private static final class UnformattedKey extends MetadataKey<LogEvent> {
    private UnformattedKey() {
      super("event", LogEvent.class, false);
    }

    @Override
    protected void emit(LogEvent event, KeyValueHandler handler) {}
  }
}
