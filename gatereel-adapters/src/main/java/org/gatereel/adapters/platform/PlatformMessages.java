package org.gatereel.adapters.platform;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;

/** The JSON bodies of the platform's table service. */
public final class PlatformMessages {
  private PlatformMessages() {}

  /** A row to write; {@code expected} is null if the row must not exist. */
  public record Write(String key, String expected, String value) {}

  /** A request to apply writes atomically. */
  public record Transaction(List<Write> writes) {}

  /** The keys whose condition failed and the present values of their rows. */
  public record Conflict(Set<String> keys, Map<String, String> present) {}

  /** A request for rows by key. */
  public record Read(List<String> keys) {}

  /** Rows by key. */
  public record Rows(SortedMap<String, String> rows) {}
}
