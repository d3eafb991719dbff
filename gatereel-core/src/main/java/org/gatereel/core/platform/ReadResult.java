package org.gatereel.core.platform;

import java.util.SortedMap;

/** What came of a read. */
public sealed interface ReadResult {
  /** The rows that exist, by key. */
  record Rows(SortedMap<String, String> rows) implements ReadResult {}

  /** The platform did not answer. */
  record Failed() implements ReadResult {}
}
