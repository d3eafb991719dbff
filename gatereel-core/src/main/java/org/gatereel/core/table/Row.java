package org.gatereel.core.table;

import java.util.Collections;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One row of the table, with valid cells.
 *
 * @param revision the table revision at which this row was last changed
 */
public record Row(RowKey key, long revision, boolean deleted, SortedMap<String, String> cells) {
  public Row {
    cells = Collections.unmodifiableSortedMap(new TreeMap<>(cells));
  }

  /** Returns the text of a cell, or the column's default value. */
  public String text(Column column) {
    return cells.getOrDefault(column.externalName(), column.defaultValue());
  }

  public int intValue(Column column) {
    return Integer.parseInt(text(column));
  }

  public boolean booleanValue(Column column) {
    return Boolean.parseBoolean(text(column));
  }

  /** Returns the enum constant that a cell names. */
  public <E extends Enum<E>> E enumValue(Column column, Class<E> type) {
    String name = text(column).toUpperCase(Locale.ROOT).replace('-', '_');
    return Enum.valueOf(type, name);
  }

  /**
   * Returns the row after a change.
   *
   * @throws InvalidEditException if a cell violates a rule
   */
  Row withChange(RowChange change, long newRevision) throws InvalidEditException {
    SortedMap<String, String> changed = new TreeMap<>();
    if (!change.deleted()) {
      changed.putAll(cells);
      for (var cell : change.cells().entrySet()) {
        Column column = Column.of(key, cell.getKey());
        var violation = column.findViolation(cell.getValue());
        if (violation.isPresent()) {
          throw new InvalidEditException(key.toString(), cell.getKey(), violation.get());
        }
        changed.put(cell.getKey(), cell.getValue());
      }
    }
    return new Row(key, newRevision, change.deleted(), changed);
  }
}
