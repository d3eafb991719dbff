package org.gatereel.forward.log;

import com.google.common.flogger.MetadataKey;

/** The metadata of a log line for an event of the event catalogue. */
public record LogEvent(int number, String name, String subject, String detail) {
  public static final MetadataKey<LogEvent> KEY = MetadataKey.single("event", LogEvent.class);
}
