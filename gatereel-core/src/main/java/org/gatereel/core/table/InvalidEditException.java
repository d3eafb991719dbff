package org.gatereel.core.table;

import org.gatereel.core.GatereelException;

/** An edit that violates a rule of the table. */
public final class InvalidEditException extends GatereelException {
  private static final long serialVersionUID = 1L;
  private final String row;
  private final String column;

  public InvalidEditException(String row, String column, String rule) {
    super("row " + row + ", column " + column + ": " + rule);
    this.row = row;
    this.column = column;
  }

  public String row() {
    return row;
  }

  public String column() {
    return column;
  }
}
