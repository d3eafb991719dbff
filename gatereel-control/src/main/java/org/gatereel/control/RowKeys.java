package org.gatereel.control;

import org.gatereel.core.table.InvalidEditException;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;

/** Reads the names of rows as they are typed. */
public final class RowKeys {
  private RowKeys() {}

  /** Reads a name like {@code service/narrator}. */
  public static RowKey parse(String text) throws ControlException {
    int slash = text.indexOf('/');
    if (slash < 0) {
      throw new ControlException(ExitCode.USAGE, "a row is named KIND/NAME, not " + text);
    }
    try {
      return new RowKey(RowKind.of(text.substring(0, slash)), text.substring(slash + 1));
    } catch (InvalidEditException e) {
      throw new ControlException(ExitCode.USAGE, e.getMessage(), e);
    }
  }
}
