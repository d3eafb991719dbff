package org.gatereel.control.table;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import org.gatereel.control.AdminClient;
import org.gatereel.control.AdminMessages;
import org.gatereel.control.Command;
import org.gatereel.control.ControlException;
import org.gatereel.control.ExitCode;
import org.gatereel.control.Printer;
import org.gatereel.control.RowKeys;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.TableEdit;

/** The commands that read and edit rows of the table. */
public final class TableCommands {
  private static final String ROW_DESCRIPTION = "ROW, for example service/narrator";

  private TableCommands() {}

  /** Prints every row. */
  @Parameters(commandDescription = "print the rows in force")
  public static final class ListRows implements Command {
    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      AdminMessages.Table table = client.table();
      List<String> lines = new ArrayList<>();
      lines.add("revision " + table.revision());
      table.rows().forEach(row -> lines.add(Printer.format(row)));
      printer.print(table, lines);
      return ExitCode.DONE;
    }
  }

  /** Prints one row with the values of all columns, including defaults. */
  @Parameters(commandDescription = "print one row with the standard values of unset cells")
  public static final class Get implements Command {
    @Parameter(description = ROW_DESCRIPTION, required = true)
    private String name;

    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      Row row = client.row(RowKeys.parse(name));
      List<String> lines = new ArrayList<>();
      lines.add(row.key() + " @" + row.revision());
      for (Column column : Column.values()) {
        if (column.rowKind() == row.key().kind()) {
          String mark = row.cells().containsKey(column.externalName()) ? "" : " (standard)";
          lines.add(
              String.format(
                  "  %-22s %-14s%s  # %s",
                  column.externalName(), row.text(column), mark, column.description()));
        }
      }
      printer.print(row, lines);
      return row.revision() > 0 ? ExitCode.DONE : ExitCode.INCOMPLETE;
    }
  }

  /** Sets cells of one row. */
  @Parameters(commandDescription = "set cells: ROW COLUMN=VALUE...")
  public static final class Set implements Command {
    @Parameter(description = "ROW COLUMN=VALUE...", required = true)
    private List<String> arguments = new ArrayList<>();

    @Parameter(
        names = "--based-on",
        description = "revision of the row that the edit is based on (standard: the present one)")
    private Long basedOn;

    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      RowKey key = RowKeys.parse(arguments.get(0));
      Map<String, String> cells = new TreeMap<>();
      for (String word : arguments.subList(1, arguments.size())) {
        int equals = word.indexOf('=');
        if (equals < 1) {
          throw new ControlException(ExitCode.USAGE, "a cell is COLUMN=VALUE, not " + word);
        }
        cells.put(word.substring(0, equals), word.substring(equals + 1));
      }
      long base = basedOn == null ? client.row(key).revision() : basedOn;
      return edit(client, printer, key, false, base, cells);
    }
  }

  /** Deletes one row. */
  @Parameters(commandDescription = "delete a row")
  public static final class Delete implements Command {
    @Parameter(description = ROW_DESCRIPTION, required = true)
    private String name;

    @Parameter(names = "--based-on", description = "revision of the row that you saw")
    private Long basedOn;

    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      RowKey key = RowKeys.parse(name);
      long base = basedOn == null ? client.row(key).revision() : basedOn;
      return edit(client, printer, key, true, base, Map.of());
    }
  }

  static ExitCode edit(
      AdminClient client,
      Printer printer,
      RowKey key,
      boolean delete,
      long basedOn,
      Map<String, String> cells)
      throws ControlException {
    String editId = UUID.randomUUID().toString();
    TableEdit edit = client.edit(key, delete, new AdminMessages.Change(editId, basedOn, cells));
    printer.print(edit, List.of("accepted at revision " + edit.revision()));
    return ExitCode.DONE;
  }

  /** Prints the accepted edits. */
  @Parameters(commandDescription = "print the accepted edits")
  public static final class History implements Command {
    @Parameter(names = "--after", description = "only edits after this revision")
    private long after;

    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      AdminMessages.History history = client.history(after);
      printer.print(history, history.edits().stream().map(Printer::format).toList());
      return ExitCode.DONE;
    }
  }

  /** Prints what changed between two revisions, row by row. */
  @Parameters(commandDescription = "print what changed between two revisions: FROM TO")
  public static final class Diff implements Command {
    @Parameter(description = "FROM TO", required = true)
    private List<String> revisions = new ArrayList<>();

    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      if (revisions.size() != 2) {
        throw new ControlException(ExitCode.USAGE, "diff takes two revisions");
      }
      TableDiff diff =
          TableDiff.between(
              client.history(0).edits(),
              Revisions.parse(revisions.get(0)),
              Revisions.parse(revisions.get(1)));
      printer.print(diff, diff.lines());
      return ExitCode.DONE;
    }
  }
}
