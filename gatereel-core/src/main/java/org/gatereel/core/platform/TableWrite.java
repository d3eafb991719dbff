package org.gatereel.core.platform;

import java.util.Optional;

/**
 * A conditional write of one row in a transaction.
 *
 * @param expected the value that the row must have; empty if the row must not exist
 * @param value the new value of the row
 */
public record TableWrite(String key, Optional<String> expected, String value) {
  /** Returns a write that only takes effect if the row does not exist. */
  public static TableWrite insert(String key, String value) {
    return new TableWrite(key, Optional.empty(), value);
  }

  /** Returns a write that only takes effect if the row still has the value {@code expected}. */
  public static TableWrite replace(String key, String expected, String value) {
    return new TableWrite(key, Optional.of(expected), value);
  }
}
