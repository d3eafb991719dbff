package org.gatereel.forward.peer;

import org.gatereel.core.model.TargetId;

/**
 * Runs of targets as short texts: the name, and where it is known the start in base 36 after a
 * sign, nine bytes in place of fourteen.
 */
final class TargetNames {
  private static final char SEPARATOR = '@';
  private static final int RADIX = 36;

  private TargetNames() {}

  static String write(TargetId target) {
    String name = target.value();
    boolean plain = target.born() == TargetId.UNKNOWN_START && name.indexOf(SEPARATOR) < 0;
    return plain ? name : name + SEPARATOR + Long.toString(target.born(), RADIX);
  }

  /** Reads a run; a text that was not written here names a target whose start is not known. */
  static TargetId read(String text) {
    int separator = text.lastIndexOf(SEPARATOR);
    if (separator < 0) {
      return new TargetId(text);
    }
    try {
      return new TargetId(
          text.substring(0, separator), Long.parseLong(text, separator + 1, text.length(), RADIX));
    } catch (NumberFormatException e) {
      return new TargetId(text);
    }
  }
}
