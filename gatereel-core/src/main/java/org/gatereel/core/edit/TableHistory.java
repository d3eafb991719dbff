package org.gatereel.core.edit;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import org.gatereel.core.table.TableEdit;

/** The history of the policy table in the platform's table. */
public final class TableHistory {
  /** The prefix of the keys of the history's rows. */
  public static final String PREFIX = TableKeys.HISTORY;

  private TableHistory() {}

  /** Returns the key of the row for a revision; rows sort by revision. */
  public static String key(long revision) {
    return TableKeys.history(revision);
  }

  /** Returns the edits in the order of their keys, up to the first that cannot be decoded. */
  public static List<TableEdit> decode(SortedMap<String, String> rows) {
    List<TableEdit> edits = new ArrayList<>();
    for (String text : rows.values()) {
      try {
        edits.add(TableEditCodec.decode(text));
      } catch (MalformedEditException e) {
        // Applying later edits without this one would make the tables of hosts differ.
        return edits;
      }
    }
    return edits;
  }
}
