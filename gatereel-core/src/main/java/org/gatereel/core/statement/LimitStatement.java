package org.gatereel.core.statement;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** What the head of one answer says of how many requests a second its target takes. */
public sealed interface LimitStatement {
  /** The answer names no limit. */
  LimitStatement NONE = new None();

  /** No limit is named. */
  record None() implements LimitStatement {}

  /**
   * A limit is named.
   *
   * @param perSecond not negative; 0 where the target takes nothing for now
   */
  record PerSecond(double perSecond) implements LimitStatement {}

  /**
   * Something is said that is no limit, so that nothing is known.
   *
   * @param text the beginning of it
   */
  record Unreadable(String text) implements LimitStatement {}

  /** A plain decimal number; signs and exponents are none that a target would write. */
  Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{0,9})?|\\.[0-9]{1,9}");

  /** Reads the values that an answer gives; of several limits the lowest one holds. */
  static LimitStatement of(List<String> values) {
    Optional<String> unreadable =
        values.stream().map(String::strip).filter(text -> !isDecimal(text)).findFirst();
    if (unreadable.isPresent()) {
      return new Unreadable(StatementText.shortened(unreadable.get()));
    }
    return values.stream()
        .map(text -> Double.parseDouble(text.strip()))
        .min(Double::compare)
        .<LimitStatement>map(PerSecond::new)
        .orElse(NONE);
  }

  private static boolean isDecimal(String text) {
    return DECIMAL.matcher(text).matches();
  }
}
