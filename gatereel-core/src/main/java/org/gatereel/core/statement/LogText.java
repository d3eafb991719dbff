package org.gatereel.core.statement;

import com.google.common.base.Ascii;

/** Shortens texts received from targets for the log. */
final class LogText {
  /** Enough to recognize the text, too little to fill a log. */
  private static final int MAX_CHARACTERS = 40;

  private LogText() {}

  static String truncate(String text) {
    return Ascii.truncate(text, MAX_CHARACTERS, "");
  }
}
