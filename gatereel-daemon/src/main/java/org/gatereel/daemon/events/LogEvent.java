package org.gatereel.daemon.events;

import com.google.common.flogger.MetadataKey;

/** What goes along with a log line of a numbered event. */
record LogEvent(int number, String name, String subject, String detail) {
  static final MetadataKey<LogEvent> KEY = MetadataKey.single("event", LogEvent.class);
}
