package org.gatereel.forward.peer;

import org.gatereel.core.model.TargetId;

/**
 * Encodes the incarnation of a target as a short string: the target's id, followed by {@code @} and
 * the start time in base 36 if it is known, which takes 9 bytes in place of 14.
 */
final class TargetIdCodec {
  private static final char SEPARATOR = '@';
  private static final int RADIX = 36;

  private TargetIdCodec() {}

  static String encode(TargetId target) {
    String name = target.value();
    boolean omitsStart = target.born() == TargetId.UNKNOWN_START && name.indexOf(SEPARATOR) < 0;
    return omitsStart ? name : name + SEPARATOR + Long.toString(target.born(), RADIX);
  }

  /** Decodes an id; a string without a valid start time is an id with an unknown start time. */
  static TargetId decode(String text) {
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
