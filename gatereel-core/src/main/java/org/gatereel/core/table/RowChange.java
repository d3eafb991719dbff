package org.gatereel.core.table;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A change of one row, requested by an operator.
 *
 * @param basedOn the revision of the row that the change is based on; 0 if the row does not exist
 * @param deleted whether the change deletes the row
 * @param cells the cells to set, by column name; the other cells keep their values
 */
public record RowChange(
    RowKey key, long basedOn, boolean deleted, SortedMap<String, String> cells) {
  public RowChange(RowKey key, long basedOn, boolean deleted, Map<String, String> cells) {
    this(key, basedOn, deleted, new TreeMap<>(cells));
  }

  public RowChange {
    cells = Collections.unmodifiableSortedMap(new TreeMap<>(cells));
  }
}
