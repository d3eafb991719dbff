package org.gatereel.core.statement;

import com.google.common.base.Ascii;

/** Texts of targets, as far as they are logged. */
final class StatementText {
  /** Enough to recognise what a target wrote, too little to fill a log. */
  private static final int MOST_CHARACTERS = 40;

  private StatementText() {}

  /** Returns the beginning of a text. */
  static String shortened(String text) {
    return Ascii.truncate(text, MOST_CHARACTERS, "");
  }
}
