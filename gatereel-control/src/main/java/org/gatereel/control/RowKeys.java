package org.gatereel.control;

import org.gatereel.core.table.InvalidEditException;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;

/** Parses row names given on the command line. */
public final class RowKeys {
  private RowKeys() {}

  /**
   * Parses a name such as {@code service/narrator}.
   *
   * @throws ControlException if the name has no slash or its kind is unknown
   */
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
