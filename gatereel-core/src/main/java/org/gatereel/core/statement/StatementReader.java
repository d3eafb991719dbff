package org.gatereel.core.statement;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Reads what targets write, which may be given several times in one answer. */
public final class StatementReader {
  /**
   * A target that names a longer rest is asked once more after this time, so that a wrong number
   * does not take it out of service for good.
   */
  public static final long LONGEST_REST_MILLIS = 600_000;

  private static final double SECOND_MILLIS = 1_000;

  /** A plain decimal number; signs and exponents are none that a target would write. */
  private static final Pattern DECIMAL =
      Pattern.compile("[0-9]{1,18}(\\.[0-9]{0,18})?|\\.[0-9]{1,18}");

  private static final Set<String> YES = ImmutableSet.of("1", "true");
  private static final Set<String> NO = ImmutableSet.of("0", "false");

  private StatementReader() {}

  /** Reads how many requests a second a target takes; of several numbers the lowest. */
  public static Statement<Double> limit(List<String> values) {
    return read(values, StatementReader::decimal, Math::min);
  }

  /**
   * Reads for how many milliseconds a target wants rest, told in seconds; the longest of several.
   */
  public static Statement<Long> restMillis(List<String> values) {
    return read(values, text -> decimal(text).map(StatementReader::millis), Math::max);
  }

  /** Reads whether a target leaves; it does if any of several values says so. */
  public static Statement<Boolean> leaving(List<String> values) {
    return read(values, StatementReader::flag, Boolean::logicalOr);
  }

  private static <T> Statement<T> read(
      List<String> values, Function<String, Optional<T>> reader, BinaryOperator<T> stricter) {
    Optional<T> strictest = Optional.empty();
    for (String value : values) {
      Optional<T> read = reader.apply(value.strip());
      if (read.isEmpty()) {
        return new Statement.Unreadable<>(StatementText.shortened(value));
      }
      strictest =
          strictest.isEmpty() ? read : Optional.of(stricter.apply(strictest.get(), read.get()));
    }
    return strictest.<Statement<T>>map(Statement.Said::new).orElse(Statement.none());
  }

  private static Optional<Double> decimal(String text) {
    return DECIMAL.matcher(text).matches()
        ? Optional.of(Double.parseDouble(text))
        : Optional.empty();
  }

  private static long millis(double seconds) {
    return Math.min(LONGEST_REST_MILLIS, Math.round(seconds * SECOND_MILLIS));
  }

  private static Optional<Boolean> flag(String text) {
    if (YES.contains(text)) {
      return Optional.of(true);
    }
    return NO.contains(text) ? Optional.of(false) : Optional.empty();
  }
}
