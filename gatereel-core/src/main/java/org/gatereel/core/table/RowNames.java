package org.gatereel.core.table;

import java.util.regex.Pattern;

/** Checks the names of rows, which are used in paths and keys. */
final class RowNames {
  private static final Pattern ALLOWED = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  private RowNames() {}

  static void check(RowKey key) throws InvalidEditException {
    if (!ALLOWED.matcher(key.name()).matches()) {
      throw new InvalidEditException(
          key.toString(), "name", "must be 1 to 63 of a-z, 0-9 and -, and not start with -");
    }
  }
}
