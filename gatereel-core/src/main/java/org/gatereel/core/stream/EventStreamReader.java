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
  private int lineLength;
  private byte lineFirstByte;

  /** Adds bytes and returns the events that they complete. */
  public List<StreamEvent> read(byte[] bytes) {
    List<StreamEvent> events = new ArrayList<>();
    int begin = 0;
    for (int index = 0; index < bytes.length; index++) {
      if (bytes[index] != '\n') {
        addToLine(bytes[index]);
        continue;
      }
      boolean blank = isLineBlank();
      lineLength = 0;
      if (blank) {
        pending.write(bytes, begin, index + 1 - begin);
        begin = index + 1;
        events.add(takeEvent());
      }
    }
    pending.write(bytes, begin, bytes.length - begin);
    return events;
  }

  private void addToLine(byte next) {
    if (lineLength == 0) {
      lineFirstByte = next;
    }
    lineLength++;
  }

  private boolean isLineBlank() {
    return lineLength == 0 || (lineLength == 1 && lineFirstByte == '\r');
  }

  private StreamEvent takeEvent() {
    byte[] whole = pending.toByteArray();
    pending.reset();
    return eventOf(whole);
  }

  /** Returns whether an incomplete event is buffered. */
  public boolean isWithinEvent() {
    return pending.size() > 0;
  }

  public int pendingBytes() {
    return pending.size();
  }

  /** Parses a block as a caller does: the last id counts, and data makes an event. */
  private static StreamEvent eventOf(byte[] whole) {
    String text = new String(whole, StandardCharsets.UTF_8);
    OptionalLong id = OptionalLong.empty();
    boolean hasData = false;
    int begin = 0;
    for (int end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', begin)) {
      String line = line(text, begin, end);
      if (line.startsWith(ID_FIELD)) {
        id = parse(line.substring(ID_FIELD.length()).strip());
      }
      hasData |= line.startsWith(DATA_FIELD) || line.equals(EMPTY_DATA_FIELD);
      begin = end + 1;
    }
    return new StreamEvent(id, hasData, whole);
  }

  private static String line(String text, int begin, int end) {
    boolean endsWithReturn = end > begin && text.charAt(end - 1) == '\r';
    return text.substring(begin, endsWithReturn ? end - 1 : end);
  }

  private static OptionalLong parse(String digits) {
    try {
      return OptionalLong.of(Long.parseLong(digits));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
