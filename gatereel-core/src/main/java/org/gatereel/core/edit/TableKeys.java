package org.gatereel.core.edit;

import org.gatereel.core.table.RowKey;

/** The keys of the policy table in the platform's table. */
final class TableKeys {
  /** The key of the latest accepted revision. */
  static final String REVISION = "policy/revision";

  /** The prefix of the rows with all accepted edits, in the order of revisions. */
  static final String HISTORY = "policy/history/";

  /** The prefix of the rows with the latest edit of each policy row. */
  static final String ROW = "policy/row/";

  private static final String EDIT = "policy/edit/";

  private TableKeys() {}

  static String history(long revision) {
    return HISTORY + String.format("%012d", revision);
  }

  static String row(RowKey key) {
    return ROW + key;
  }

  /** Returns the key of the row with the revision at which an edit id was accepted. */
  static String edit(String editId) {
    return EDIT + editId;
  }
}
