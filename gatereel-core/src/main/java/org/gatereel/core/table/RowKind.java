package org.gatereel.core.table;

import java.util.Locale;

/** The kinds of row in the policy table. */
public enum RowKind {
  ACCOUNT,
  SERVICE,
  DATA_CENTRE;

  /** Returns the name of this kind in paths and files. */
  public String externalName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the kind with an external name.
   *
   * @throws InvalidEditException if there is no such kind
   */
  public static RowKind of(String externalName) throws InvalidEditException {
    for (RowKind kind : values()) {
      if (kind.externalName().equals(externalName)) {
        return kind;
      }
    }
    throw new InvalidEditException(
        externalName, "kind", "is none of account, service, data-centre");
  }
}
