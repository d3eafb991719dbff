package org.gatereel.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Runs a command and captures its standard output. */
final class CommandOutput {
  private CommandOutput() {}

  /** Runs a command, asserts its exit code and returns its standard output. */
  static String capture(ExitCode expected, String... arguments) {
    PrintStream before = System.out;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      assertEquals(expected, new ControlMain().run(arguments));
    } finally {
      System.setOut(before);
    }
    return output.toString(StandardCharsets.UTF_8);
  }
}
