package org.gatereel.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {
  @TempDir private Path folder;

  private static String line(String time, String host, String name, String subject) {
    return "{\"time\":\"%s\",\"host\":\"%s\",\"name\":\"%s\",\"subject\":\"%s\",\"detail\":\"a=1\"}%n"
        .formatted(time, host, name, subject);
  }

  private Path file(String name, String... lines) throws IOException {
    return Files.writeString(folder.resolve(name), String.join("", lines));
  }

  @Test
  void printsEventsOfAllFilesInOrderOfTimeWithTheirMeaning() throws IOException {
    Path one =
        file(
            "one",
            "collector prefix " + line("T3", "h1", "ATTEMPT_FAILED", "r1"),
            line("T2", "h1", "REQUEST_FORWARDED", "r2"),
            "no json at all r1\n");
    Path other = file("other", line("T1", "h2", "REQUEST_FORWARDED", "r1"));

    String text =
        CommandOutput.capture(ExitCode.DONE, "explain", "r1", one.toString(), other.toString());

    assertTrue(text.indexOf("T1 h2") < text.indexOf("T3 h1"), text);
    assertTrue(text.contains("A request was sent to a target."), text);
    assertEquals(-1, text.indexOf("T2"), text);
  }

  @Test
  void returnsIncompleteIfNothingWasFound() throws IOException {
    Path one = file("one", line("T1", "h1", "REQUEST_FORWARDED", "r1"));

    CommandOutput.capture(ExitCode.INCOMPLETE, "explain", "other", one.toString());
  }

  @Test
  void returnsUsageIfAFileCannotBeRead() {
    CommandOutput.capture(ExitCode.USAGE, "explain", "r1", folder.resolve("absent").toString());
  }
}
