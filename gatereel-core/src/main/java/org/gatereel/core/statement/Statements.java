package org.gatereel.core.statement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What the head of one answer, or a report, says of its target.
 *
 * @param limit how many requests a second the target takes from all hosts together
 * @param leaving whether the target is about to end and wants nothing new
 * @param restMillis for how long the target wants nothing from this host
 * @param unknown the values of headers and fields that nothing reads, by their names
 */
public record Statements(
    Statement<Double> limit,
    Statement<Boolean> leaving,
    Statement<Long> restMillis,
    Map<String, String> unknown) {
  /** An answer that says nothing. */
  public static final Statements NONE =
      new Statements(Statement.none(), Statement.none(), Statement.none(), Map.of());

  private static final String FIELD_PREFIX = "report field ";

  public Statements {
    unknown = Map.copyOf(unknown);
  }

  /** Returns the same with another limit. */
  public Statements withLimit(Statement<Double> other) {
    return new Statements(other, leaving, restMillis, unknown);
  }

  /** Returns the same with another word on leaving. */
  public Statements withLeaving(Statement<Boolean> other) {
    return new Statements(limit, other, restMillis, unknown);
  }

  /** Returns the same with another rest. */
  public Statements withRestMillis(Statement<Long> other) {
    return new Statements(limit, leaving, other, unknown);
  }

  /** Returns the same with fields of a report that nothing reads. */
  public Statements withUnknownFields(Set<String> names) {
    if (names.isEmpty()) {
      return this;
    }
    Map<String, String> all = new HashMap<>(unknown);
    names.forEach(name -> all.put(FIELD_PREFIX + name, ""));
    return new Statements(limit, leaving, restMillis, all);
  }

  /** Returns whether the target leaves, as far as that can be read. */
  public boolean saysLeaving() {
    return leaving.said().orElse(false);
  }

  /** Returns for how long the target wants rest; 0 if it wants none, or that cannot be read. */
  public long rest() {
    return restMillis.said().orElse(0L);
  }
}
