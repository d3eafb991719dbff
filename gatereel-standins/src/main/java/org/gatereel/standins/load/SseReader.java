package org.gatereel.standins.load;

import java.io.IOException;
import okio.BufferedSource;

/** Reads a stream of server-sent events. */
final class SseReader {
  private final BufferedSource source;

  SseReader(BufferedSource source) {
    this.source = source;
  }

  /** One event; fields that were not sent are empty. */
  record SseEvent(String id, String type, String data) {}

  /** Returns the next event, or null if the stream ended. */
  SseEvent next() throws IOException {
    String id = "";
    String type = "";
    StringBuilder data = new StringBuilder();
    while (true) {
      String line = source.readUtf8Line();
      if (line == null) {
        return null;
      }
      if (line.isEmpty()) {
        return new SseEvent(id, type, data.toString());
      }
      if (line.startsWith("id: ")) {
        id = line.substring(4);
      } else if (line.startsWith("event: ")) {
        type = line.substring(7);
      } else if (line.startsWith("data: ")) {
        data.append(line.substring(6));
      }
    }
  }
}
