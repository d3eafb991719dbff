package org.gatereel.core.platform;

import java.util.SortedMap;

/** The result of a read. */
public sealed interface ReadResult {
  /** The rows that exist, by key. */
  record Rows(SortedMap<String, String> rows) implements ReadResult {}

  /** The platform did not respond. */
  record Failed() implements ReadResult {}
}
