package org.gatereel.core.table;

/**
 * One accepted edit, with the row that it results in.
 *
 * @param editId chosen by the operator's tool; an edit that is sent twice takes effect once
 * @param wallClockMillis when the edit was accepted, in milliseconds since 1970; informational
 */
public record TableEdit(Row row, String editId, String operator, long wallClockMillis) {
  /** Returns the table revision that this edit created. */
  public long revision() {
    return row.revision();
  }
}
