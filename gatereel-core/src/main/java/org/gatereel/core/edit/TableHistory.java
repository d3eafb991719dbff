package org.gatereel.core.edit;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import org.gatereel.core.table.TableEdit;

/** The history of the policy table as the platform's table keeps it. */
public final class TableHistory {
  /** The prefix of the history's rows. */
  public static final String PREFIX = TableKeys.HISTORY;

  private TableHistory() {}

  /** Returns the key of the row for a revision; rows sort by revision. */
  public static String key(long revision) {
    return TableKeys.history(revision);
  }

  /** Returns the edits in rows, in the order of their keys, up to the first that is damaged. */
  public static List<TableEdit> decode(SortedMap<String, String> rows) {
    List<TableEdit> edits = new ArrayList<>();
    for (String text : rows.values()) {
      try {
        edits.add(TableEditCodec.decode(text));
      } catch (MalformedEditException e) {
        // Nothing after a row that cannot be read may come into force, or hosts would differ.
        return edits;
      }
    }
    return edits;
  }
}
