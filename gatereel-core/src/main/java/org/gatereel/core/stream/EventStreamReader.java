package org.gatereel.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits a server-sent event stream into complete events.
 *
 * <p>Bytes are kept unchanged. An incomplete event is buffered until its blank line, so that the
 * caller never receives part of an event.
 */
public final class EventStreamReader {
  private static final String ID_FIELD = "id:";
  private static final String DATA_FIELD = "data:";

  /** A field without a colon has an empty value. */
  private static final String EMPTY_DATA_FIELD = "data";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private int lineStart;

  /** Adds bytes and returns the events that they complete. */
  public List<StreamEvent> read(byte[] bytes) {
    List<StreamEvent> events = new ArrayList<>();
    for (byte next : bytes) {
      pending.write(next);
      if (next == '\n') {
        endLine(events);
      }
    }
    return events;
  }

  /** Returns whether an incomplete event is buffered. */
  public boolean isWithinEvent() {
    return pending.size() > 0;
  }

  public int pendingBytes() {
    return pending.size();
  }

  private void endLine(List<StreamEvent> events) {
    int length = pending.size() - lineStart;
    boolean blank = length == 1 || (length == 2 && pending.toByteArray()[lineStart] == '\r');
    lineStart = pending.size();
    if (!blank) {
      return;
    }
    byte[] whole = pending.toByteArray();
    events.add(eventOf(whole));
    pending.reset();
    lineStart = 0;
  }

  /** Parses a block as a caller does: the last id counts, and data makes an event. */
  private static StreamEvent eventOf(byte[] whole) {
    String text = new String(whole, StandardCharsets.UTF_8);
    OptionalLong id = OptionalLong.empty();
    boolean hasData = false;
    for (String line : text.split("\r?\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        id = parse(line.substring(ID_FIELD.length()).strip());
      }
      hasData |= line.startsWith(DATA_FIELD) || line.equals(EMPTY_DATA_FIELD);
    }
    return new StreamEvent(id, hasData, whole);
  }

  private static OptionalLong parse(String digits) {
    try {
      return OptionalLong.of(Long.parseLong(digits));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
