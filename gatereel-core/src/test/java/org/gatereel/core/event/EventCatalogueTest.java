package org.gatereel.core.event;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.gatereel.core.model.ProblemType;
import org.junit.jupiter.api.Test;

class EventCatalogueTest {
  private static final Path DOCS = Path.of("..", "docs");

  private static List<String> rows(String file) throws IOException {
    try (Stream<String> lines = Files.lines(DOCS.resolve(file))) {
      return lines.filter(line -> line.startsWith("| ") && !line.startsWith("| -")).toList();
    }
  }

  @Test
  void theCatalogueHasEveryEventWithItsNumberAndMeaning() throws IOException {
    List<String> wanted =
        Arrays.stream(EventCode.values())
            .map(code -> "| " + code.number() + " | " + code + " | " + code.description() + " |")
            .toList();
    List<String> found =
        rows("EVENTS.md").stream().filter(row -> Character.isDigit(row.charAt(2))).toList();
    assertEquals(wanted, found);
  }

  @Test
  void theApiPageHasEveryProblemTypeWithItsStatusAndTitle() throws IOException {
    List<String> wanted =
        Arrays.stream(ProblemType.values())
            .map(type -> "| " + type.uri() + " | " + type.status() + " | " + type.title() + " |")
            .toList();
    List<String> found =
        rows("API.md").stream().filter(row -> row.startsWith("| /problems/")).toList();
    assertEquals(wanted, found);
  }

  @Test
  void noTwoEventsShareANumber() {
    long numbers = Arrays.stream(EventCode.values()).mapToInt(EventCode::number).distinct().count();
    assertEquals(EventCode.values().length, numbers);
  }
}
