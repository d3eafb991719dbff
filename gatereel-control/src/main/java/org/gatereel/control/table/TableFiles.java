package org.gatereel.control.table;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.gatereel.control.AdminClient;
import org.gatereel.control.Command;
import org.gatereel.control.ControlException;
import org.gatereel.control.ExitCode;
import org.gatereel.control.Printer;
import org.gatereel.control.RowKeys;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowKey;

/** The commands that export the table to a CSV file and import it. */
public final class TableFiles {
  private static final String ROW = "row";
  private static final String REVISION = "revision";
  private static final CsvMapper CSV = new CsvMapper();

  private TableFiles() {}

  private static CsvSchema schema() {
    CsvSchema.Builder schema = CsvSchema.builder().addColumn(ROW).addColumn(REVISION);
    Stream.of(Column.values()).map(Column::externalName).forEach(schema::addColumn);
    return schema.build().withHeader();
  }

  /** Writes the table to a file. */
  @Parameters(commandDescription = "write the rows in force to a CSV file")
  public static final class Export implements Command {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      List<Map<String, String>> lines = new ArrayList<>();
      for (Row row : client.table().rows()) {
        Map<String, String> line = new LinkedHashMap<>();
        line.put(ROW, row.key().toString());
        line.put(REVISION, Long.toString(row.revision()));
        line.putAll(row.cells());
        lines.add(line);
      }
      try {
        Files.writeString(Path.of(file), CSV.writer(schema()).writeValueAsString(lines));
      } catch (IOException e) {
        throw new ControlException(ExitCode.USAGE, "cannot write " + file, e);
      }
      printer.print(lines, List.of(lines.size() + " rows written to " + file));
      return ExitCode.DONE;
    }
  }

  /**
   * Edits every row whose cells differ between the file and the table.
   *
   * <p>Each edit is based on the revision in the file. An edit of a row that was changed since the
   * export is rejected; the other edits are applied.
   */
  @Parameters(commandDescription = "edit the rows that differ from a CSV file")
  public static final class Import implements Command {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      int rejected = 0;
      for (Map<String, String> line : read()) {
        try {
          importRow(client, printer, line);
        } catch (ControlException e) {
          rejected++;
          System.err.println(line.get(ROW) + ": " + e.getMessage());
        }
      }
      return rejected == 0 ? ExitCode.DONE : ExitCode.INCOMPLETE;
    }

    private List<Map<String, String>> read() throws ControlException {
      try (MappingIterator<Map<String, String>> lines =
          CSV.readerForMapOf(String.class)
              .with(CsvSchema.emptySchema().withHeader())
              .readValues(Path.of(file).toFile())) {
        return lines.readAll();
      } catch (IOException e) {
        throw new ControlException(ExitCode.USAGE, "cannot read " + file, e);
      }
    }

    private static void importRow(AdminClient client, Printer printer, Map<String, String> line)
        throws ControlException {
      RowKey key = RowKeys.parse(line.getOrDefault(ROW, ""));
      Map<String, String> cells = new TreeMap<>(line);
      cells.keySet().removeAll(List.of(ROW, REVISION));
      cells.values().removeIf(String::isEmpty);
      Row present = client.row(key);
      if (present.cells().equals(cells)) {
        return;
      }
      String revision = line.getOrDefault(REVISION, "");
      long basedOn = revision.isEmpty() ? present.revision() : Long.parseLong(revision);
      TableCommands.edit(client, printer, key, false, basedOn, cells);
    }
  }
}
