package org.gatereel.core.table;

/**
 * One accepted edit: the row as it is from this revision on, and who did it.
 *
 * @param editId drawn by the operator's tool, so that an edit sent twice counts once
 * @param wallClockMillis when the edit was accepted, for the history only
 */
public record TableEdit(Row row, String editId, String operator, long wallClockMillis) {
  /** Returns the table revision that this edit made. */
  public long revision() {
    return row.revision();
  }
}
