package org.gatereel.core.statement;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Reads what targets write, which may be given several times in one answer. */
public final class AnnouncementParser {
  /**
   * A target that names a longer rest is asked once more after this time, so that a wrong number
   * does not take it out of service for good.
   */
  public static final long MAX_BACKOFF_MILLIS = 600_000;

  private static final double SECOND_MILLIS = 1_000;

  /** A plain decimal number; signs and exponents are none that a target would write. */
  private static final Pattern DECIMAL =
      Pattern.compile("[0-9]{1,18}(\\.[0-9]{0,18})?|\\.[0-9]{1,18}");

  private static final Set<String> YES = ImmutableSet.of("1", "true");
  private static final Set<String> NO = ImmutableSet.of("0", "false");

  private AnnouncementParser() {}

  /** Reads how many requests a second a target takes; of several numbers the lowest. */
  public static Announcement<Double> limit(List<String> values) {
    return read(values, AnnouncementParser::decimal, Math::min);
  }

  /**
   * Reads for how many milliseconds a target wants rest, told in seconds; the longest of several.
   */
  public static Announcement<Long> backoffMillis(List<String> values) {
    return read(values, text -> decimal(text).map(AnnouncementParser::millis), Math::max);
  }

  /** Reads whether a target leaves; it does if any of several values says so. */
  public static Announcement<Boolean> leaving(List<String> values) {
    return read(values, AnnouncementParser::flag, Boolean::logicalOr);
  }

  private static <T> Announcement<T> read(
      List<String> values, Function<String, Optional<T>> reader, BinaryOperator<T> stricter) {
    Optional<T> strictest = Optional.empty();
    for (String value : values) {
      Optional<T> read = reader.apply(value.strip());
      if (read.isEmpty()) {
        return new Announcement.Unreadable<>(LogText.truncate(value));
      }
      strictest =
          strictest.isEmpty() ? read : Optional.of(stricter.apply(strictest.get(), read.get()));
    }
    return strictest.<Announcement<T>>map(Announcement.Announced::new).orElse(Announcement.none());
  }

  private static Optional<Double> decimal(String text) {
    return DECIMAL.matcher(text).matches()
        ? Optional.of(Double.parseDouble(text))
        : Optional.empty();
  }

  private static long millis(double seconds) {
    return Math.min(MAX_BACKOFF_MILLIS, Math.round(seconds * SECOND_MILLIS));
  }

  private static Optional<Boolean> flag(String text) {
    if (YES.contains(text)) {
      return Optional.of(true);
    }
    return NO.contains(text) ? Optional.of(false) : Optional.empty();
  }
}
