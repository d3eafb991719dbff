package org.gatereel.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlMainTest {
  @ParameterizedTest
  @ValueSource(
      strings = {
        "--help",
        "status --help",
        "timeline --help",
        "drain --help",
        "explain --help",
        "table --help",
        "table list --help",
        "table get --help",
        "table set --help",
        "table delete --help",
        "table history --help",
        "table diff --help",
        "table export --help",
        "table import --help",
        "table wait --help",
      })
  void everyCommandHasHelp(String line) {
    assertEquals(ExitCode.DONE, new ControlMain().run(line.split(" ", -1)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"nothing", "table", "table nothing", "table set", "explain", "explain id"})
  void invalidArgumentsAreAUsageError(String line) {
    assertEquals(ExitCode.USAGE, new ControlMain().run(line.split(" ", -1)));
  }
}
