package org.gatereel.core.statement;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Parses the values of response headers in which targets make announcements. A response may contain
 * several values for one header; the strictest one counts.
 */
public final class AnnouncementParser {
  /** Bounds a backoff, so that an invalid value does not exclude a target permanently. */
  public static final long MAX_BACKOFF_MILLIS = 600_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Excludes signs and exponents. */
  private static final Pattern DECIMAL =
      Pattern.compile("[0-9]{1,18}(\\.[0-9]{0,18})?|\\.[0-9]{1,18}");

  private static final Set<String> TRUE_VALUES = ImmutableSet.of("1", "true");
  private static final Set<String> FALSE_VALUES = ImmutableSet.of("0", "false");

  private AnnouncementParser() {}

  /** Parses how many requests a second a target accepts; the lowest of several values counts. */
  public static Announcement<Double> limit(List<String> values) {
    return parse(values, AnnouncementParser::decimal, Math::min);
  }

  /**
   * Parses a backoff, given in seconds, into milliseconds; the longest of several values counts.
   */
  public static Announcement<Long> backoffMillis(List<String> values) {
    return parse(values, text -> decimal(text).map(AnnouncementParser::millis), Math::max);
  }

  /** Parses whether a target is leaving; one true value suffices. */
  public static Announcement<Boolean> leaving(List<String> values) {
    return parse(values, AnnouncementParser::flag, Boolean::logicalOr);
  }

  private static <T> Announcement<T> parse(
      List<String> values, Function<String, Optional<T>> parser, BinaryOperator<T> stricter) {
    Optional<T> strictest = Optional.empty();
    for (String value : values) {
      Optional<T> parsed = parser.apply(value.strip());
      if (parsed.isEmpty()) {
        return new Announcement.Unreadable<>(LogText.truncate(value));
      }
      strictest =
          strictest.isEmpty() ? parsed : Optional.of(stricter.apply(strictest.get(), parsed.get()));
    }
    return strictest.<Announcement<T>>map(Announcement.Announced::new).orElse(Announcement.none());
  }

  private static Optional<Double> decimal(String text) {
    return DECIMAL.matcher(text).matches()
        ? Optional.of(Double.parseDouble(text))
        : Optional.empty();
  }

  private static long millis(double seconds) {
    return Math.min(MAX_BACKOFF_MILLIS, Math.round(seconds * MILLIS_PER_SECOND));
  }

  private static Optional<Boolean> flag(String text) {
    if (TRUE_VALUES.contains(text)) {
      return Optional.of(true);
    }
    return FALSE_VALUES.contains(text) ? Optional.of(false) : Optional.empty();
  }
}
