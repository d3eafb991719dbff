package org.gatereel.core.statement;

import com.google.common.base.Ascii;

/** Texts of targets, as far as they are logged. */
final class LogText {
  /** Enough to recognise what a target wrote, too little to fill a log. */
  private static final int MOST_CHARACTERS = 40;

  private LogText() {}

  /** Returns the beginning of a text. */
  static String truncate(String text) {
    return Ascii.truncate(text, MOST_CHARACTERS, "");
  }
}
