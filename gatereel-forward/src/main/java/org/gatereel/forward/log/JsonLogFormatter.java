package org.gatereel.forward.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each log record as one line of JSON; records of libraries have no event number. */
public final class JsonLogFormatter extends Formatter {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String host;

  public JsonLogFormatter(String host) {
    this.host = host;
  }

  @Override
  public String format(LogRecord record) {
    ObjectNode line = MAPPER.createObjectNode();
    line.put("time", record.getInstant().toString());
    line.put("level", record.getLevel().getName());
    line.put("host", host);
    LogEvent event = event(record);
    if (event != null) {
      line.put("event", event.number());
      line.put("name", event.name());
      line.put("subject", event.subject());
      line.put("detail", event.detail());
    } else {
      line.put("logger", record.getLoggerName());
      line.put("message", formatMessage(record));
    }
    if (record.getThrown() != null) {
      StringWriter trace = new StringWriter();
      record.getThrown().printStackTrace(new PrintWriter(trace));
      line.put("failure", trace.toString());
    }
    try {
      return MAPPER.writeValueAsString(line) + System.lineSeparator();
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("log record could not be written as JSON", e);
    }
  }

  private static LogEvent event(LogRecord record) {
    return record instanceof AbstractLogRecord flogger
        ? flogger.getLogData().getMetadata().findValue(LogEvent.KEY)
        : null;
  }
}
