package org.gatereel.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class EventStreamReaderTest {
  private static final Duration LIMIT = Duration.ofSeconds(5);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Guards against an event loop that stands still while a target sends lines without an end. */
  @Test
  void eventOfManyLinesIsReadInLinearTime() {
    byte[] lines = bytes("a\n".repeat(32 << 10));
    EventStreamReader reader = new EventStreamReader();
    assertTimeoutPreemptively(
        LIMIT,
        () -> {
          for (int part = 0; part < 64; part++) {
            assertEquals(List.of(), reader.read(lines));
          }
        });
    assertEquals(64 * lines.length, reader.pendingBytes());
  }

  @Test
  void eventsAreTheSameHoweverTheirBytesArrive() {
    String text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\r\n:c\n\ndata\r\r\n\nrest\r";
    List<String> whole = read(new EventStreamReader(), List.of(bytes(text)));
    SplittableRandom random = new SplittableRandom(1);
    for (int play = 0; play < 200; play++) {
      List<byte[]> parts = new ArrayList<>();
      byte[] all = bytes(text);
      for (int begin = 0; begin < all.length; ) {
        int end = Math.min(all.length, begin + 1 + random.nextInt(4));
        parts.add(Arrays.copyOfRange(all, begin, end));
        begin = end;
      }
      assertEquals(whole, read(new EventStreamReader(), parts));
    }
    assertEquals(
        List.of(
            "id: 1\ndata: a\n\n",
            "id: 2\r\ndata: b\r\n\r\n",
            "\n",
            "\r\n",
            ":c\n\n",
            "data\r\r\n\n"),
        whole);
  }

  private static List<String> read(EventStreamReader reader, List<byte[]> parts) {
    return parts.stream()
        .flatMap(part -> reader.read(part).stream())
        .map(event -> new String(event.bytes(), StandardCharsets.UTF_8))
        .collect(Collectors.toList());
  }
}
