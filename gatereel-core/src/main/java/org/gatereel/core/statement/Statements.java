package org.gatereel.core.statement;

import java.util.Map;

/**
 * What the head of one answer says of its target.
 *
 * @param limit how many requests the target takes
 * @param unknown the values of headers that nothing reads, by their names in small letters
 */
public record Statements(LimitStatement limit, Map<String, String> unknown) {
  /** An answer that says nothing. */
  public static final Statements NONE = of(LimitStatement.NONE);

  public Statements {
    unknown = Map.copyOf(unknown);
  }

  /** Makes the statements of an answer that names only a limit, or nothing. */
  public static Statements of(LimitStatement limit) {
    return new Statements(limit, Map.of());
  }
}
