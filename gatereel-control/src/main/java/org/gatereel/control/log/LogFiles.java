package org.gatereel.control.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.gatereel.control.ControlException;
import org.gatereel.control.ExitCode;

/** Reads the events of log files. */
public final class LogFiles {
  private LogFiles() {}

  /**
   * Returns the events of all files, ordered by time.
   *
   * @param wanted selects the lines to parse
   * @throws ControlException if a file cannot be read
   */
  public static List<LogLine> read(List<String> files, Predicate<String> wanted)
      throws ControlException {
    List<LogLine> found = new ArrayList<>();
    for (String file : files) {
      try (Stream<String> lines = Files.lines(Path.of(file))) {
        lines.filter(wanted).forEach(line -> LogLine.parse(line).ifPresent(found::add));
      } catch (IOException | UncheckedIOException e) {
        throw new ControlException(ExitCode.USAGE, "cannot be read: " + file, e);
      }
    }
    found.sort(Comparator.comparing(LogLine::time));
    return found;
  }
}
