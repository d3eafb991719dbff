package org.gatereel.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.TableEdit;

/** Prints the results of commands as text or as JSON. */
public final class Printer {
  private final PrintStream out;
  private final boolean json;

  public Printer(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  /** Prints the value if the output is JSON, the lines otherwise. */
  public void print(Object value, List<String> lines) throws ControlException {
    if (!json) {
      lines.forEach(out::println);
      return;
    }
    try {
      out.println(AdminClient.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new ControlException(ExitCode.INCOMPLETE, "the result cannot be serialized as JSON", e);
    }
  }

  public static String format(Row row) {
    return row.key() + " @" + row.revision() + "  " + cells(row.cells());
  }

  public static String format(TableEdit edit) {
    String what = edit.row().deleted() ? "deleted" : cells(edit.row().cells());
    return String.format(
        "%6d  %s  %-12s  %s  %s",
        edit.revision(),
        Instant.ofEpochMilli(edit.wallClockMillis()),
        edit.operator(),
        edit.row().key(),
        what);
  }

  public static String format(AdminMessages.TimelineEntry entry) {
    return String.format(
        "%s  %-12s  %3d %-22s  %s  %s",
        Instant.ofEpochMilli(entry.wallClockMillis()),
        entry.host(),
        entry.number(),
        entry.name(),
        entry.subject(),
        entry.detail());
  }

  private static String cells(Map<String, String> cells) {
    return cells.entrySet().stream()
        .map(cell -> cell.getKey() + "=" + cell.getValue())
        .collect(Collectors.joining(" "));
  }
}
