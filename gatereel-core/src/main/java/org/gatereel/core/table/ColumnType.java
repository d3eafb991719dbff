package org.gatereel.core.table;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.gatereel.core.generation.CopyPolicy;
import org.gatereel.core.generation.SuspicionPolicy;
import org.gatereel.core.target.PlacementPolicy;

/** The types of cells; {@code findViolation} returns the rule that a cell's text violates. */
enum ColumnType {
  WHOLE_NUMBER {
    @Override
    Optional<String> findViolation(String text, long minimum, long maximum) {
      try {
        long value = Long.parseLong(text);
        if (value >= minimum && value <= maximum) {
          return Optional.empty();
        }
      } catch (NumberFormatException e) {
        // Reported below, with the allowed range.
      }
      return Optional.of(
          "\"" + text + "\" is not a whole number from " + minimum + " to " + maximum);
    }
  },
  TRUTH {
    @Override
    Optional<String> findViolation(String text, long minimum, long maximum) {
      return oneOf(text, "true", "false");
    }
  },
  KEY_HASH {
    @Override
    Optional<String> findViolation(String text, long minimum, long maximum) {
      return HASH.matcher(text).matches()
          ? Optional.empty()
          : Optional.of("is not the SHA-256 of a bearer key in 64 hexadecimal digits");
    }
  },
  SERVICE_KIND {
    @Override
    Optional<String> findViolation(String text, long minimum, long maximum) {
      return oneOf(text, cellValues(ServiceKind.values()));
    }
  },
  PLACEMENT {
    @Override
    Optional<String> findViolation(String text, long minimum, long maximum) {
      return oneOf(text, cellValues(PlacementPolicy.values()));
    }
  },
  SUSPICION {
    @Override
    Optional<String> findViolation(String text, long minimum, long maximum) {
      return oneOf(text, cellValues(SuspicionPolicy.values()));
    }
  },
  COPYING {
    @Override
    Optional<String> findViolation(String text, long minimum, long maximum) {
      return oneOf(text, cellValues(CopyPolicy.values()));
    }
  };

  private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

  abstract Optional<String> findViolation(String text, long minimum, long maximum);

  /** Returns the allowedValue for a constant in cells. */
  static String cellValue(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String[] cellValues(Enum<?>[] constants) {
    String[] words = new String[constants.length];
    for (int index = 0; index < constants.length; index++) {
      words[index] = cellValue(constants[index]);
    }
    return words;
  }

  private static Optional<String> oneOf(String text, String... allowed) {
    for (String allowedValue : allowed) {
      if (allowedValue.equals(text)) {
        return Optional.empty();
      }
    }
    return Optional.of("\"" + text + "\" is none of " + String.join(", ", allowed));
  }
}
