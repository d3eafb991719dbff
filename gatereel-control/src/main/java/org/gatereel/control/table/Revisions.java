package org.gatereel.control.table;

import org.gatereel.control.ControlException;
import org.gatereel.control.ExitCode;

/** Parses revisions given on the command line. */
final class Revisions {
  private Revisions() {}

  static long parse(String text) throws ControlException {
    try {
      return Long.parseUnsignedLong(text);
    } catch (NumberFormatException e) {
      throw new ControlException(ExitCode.USAGE, "a revision is a whole number, not " + text, e);
    }
  }
}
