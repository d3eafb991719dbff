package org.gatereel.core.edit;

import org.gatereel.core.table.RowKey;

/** Where the policy table stands in the platform's table. */
final class TableKeys {
  /** The number of the latest accepted edit. */
  static final String REVISION = "policy/revision";

  /** One row for each accepted edit, in the order of revisions. */
  static final String HISTORY = "policy/history/";

  /** The latest edit of each row. */
  static final String ROW = "policy/row/";

  private static final String EDIT = "policy/edit/";

  private TableKeys() {}

  static String history(long revision) {
    return HISTORY + String.format("%012d", revision);
  }

  static String row(RowKey key) {
    return ROW + key;
  }

  /** Returns the row that says at which revision an edit id was accepted. */
  static String edit(String editId) {
    return EDIT + editId;
  }
}
