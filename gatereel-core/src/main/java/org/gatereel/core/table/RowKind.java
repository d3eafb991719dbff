package org.gatereel.core.table;

import java.util.Locale;

/** The kinds of row in the table of weights and limits. */
public enum RowKind {
  ACCOUNT,
  SERVICE,
  DATA_CENTRE;

  /** Returns the word for this kind in paths and files. */
  public String externalName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the kind with a word.
   *
   * @throws InvalidEditException if there is no such kind
   */
  public static RowKind of(String word) throws InvalidEditException {
    for (RowKind kind : values()) {
      if (kind.externalName().equals(word)) {
        return kind;
      }
    }
    throw new InvalidEditException(word, "kind", "is none of account, service, data-centre");
  }
}
