package org.gatereel.control.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.TableEdit;

/** The cells that differ between two revisions. */
record TableDiff(long from, long to, List<CellChange> changes) {
  /** A changed cell; an empty string means that the cell was not set. */
  record CellChange(RowKey row, String column, String before, String after) {}

  static TableDiff between(List<TableEdit> history, long from, long to) {
    Map<RowKey, SortedMap<String, String>> before = cellsAt(history, from);
    Map<RowKey, SortedMap<String, String>> after = cellsAt(history, to);
    TreeSet<RowKey> rows = new TreeSet<>(before.keySet());
    rows.addAll(after.keySet());
    List<CellChange> changes = new ArrayList<>();
    for (RowKey row : rows) {
      SortedMap<String, String> old = before.getOrDefault(row, new TreeMap<>());
      SortedMap<String, String> now = after.getOrDefault(row, new TreeMap<>());
      addChanges(row, old, now, changes);
    }
    return new TableDiff(from, to, changes);
  }

  private static void addChanges(
      RowKey row,
      SortedMap<String, String> old,
      SortedMap<String, String> now,
      List<CellChange> changes) {
    TreeSet<String> columns = new TreeSet<>(old.keySet());
    columns.addAll(now.keySet());
    for (String column : columns) {
      String before = old.getOrDefault(column, "");
      String after = now.getOrDefault(column, "");
      if (!before.equals(after)) {
        changes.add(new CellChange(row, column, before, after));
      }
    }
  }

  private static Map<RowKey, SortedMap<String, String>> cellsAt(
      List<TableEdit> history, long revision) {
    Map<RowKey, SortedMap<String, String>> cells = new HashMap<>();
    for (TableEdit edit : history) {
      if (edit.revision() <= revision) {
        cells.put(edit.row().key(), edit.row().cells());
      }
    }
    return cells;
  }

  List<String> lines() {
    return changes.stream()
        .map(
            change ->
                change.row()
                    + " "
                    + change.column()
                    + ": \""
                    + change.before()
                    + "\" -> \""
                    + change.after()
                    + "\"")
        .toList();
  }
}
