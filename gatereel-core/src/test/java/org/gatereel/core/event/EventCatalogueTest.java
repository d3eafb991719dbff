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
  void catalogueContainsEveryEvent() throws IOException {
    List<String> expected =
        Arrays.stream(EventCode.values())
            .map(code -> "| " + code.number() + " | " + code + " | " + code.description() + " |")
            .toList();
    List<String> actual =
        rows("EVENTS.md").stream().filter(row -> Character.isDigit(row.charAt(2))).toList();
    assertEquals(expected, actual);
  }

  @Test
  void apiPageContainsEveryProblemType() throws IOException {
    List<String> expected =
        Arrays.stream(ProblemType.values())
            .map(type -> "| " + type.uri() + " | " + type.status() + " | " + type.title() + " |")
            .toList();
    List<String> actual =
        rows("API.md").stream().filter(row -> row.startsWith("| /problems/")).toList();
    assertEquals(expected, actual);
  }

  @Test
  void eventNumbersAreUnique() {
    long numbers = Arrays.stream(EventCode.values()).mapToInt(EventCode::number).distinct().count();
    assertEquals(EventCode.values().length, numbers);
  }
}
