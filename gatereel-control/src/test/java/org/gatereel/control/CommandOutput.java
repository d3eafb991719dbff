package org.gatereel.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Runs a command and takes what it prints. */
final class CommandOutput {
  private CommandOutput() {}

  /** Runs a command that has to end with an exit code; returns its standard output. */
  static String capture(ExitCode expected, String... words) {
    PrintStream before = System.out;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      assertEquals(expected, new ControlMain().run(words));
    } finally {
      System.setOut(before);
    }
    return output.toString(StandardCharsets.UTF_8);
  }
}
