package org.gatereel.core.table;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What an operator wants changed.
 *
 * @param basedOn the revision of the row that the operator saw; 0 if there was no row
 * @param deleted whether the row is to go
 * @param cells the cells to set, by column name; the other cells stay as they are
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
