package org.gatereel.forward.http;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.Optional;

/**
 * Reads the list of a prompt's parts, {@code NAME:TOKENS,NAME:TOKENS}.
 *
 * <p>It only steers which engine is preferred; what cannot be read is passed over, and judged by
 * the engine that gets it.
 */
final class PromptParts {
  private static final Splitter PARTS = Splitter.on(',').trimResults().omitEmptyStrings();
  private static final char SEPARATOR = ':';

  private PromptParts() {}

  /** Returns the name of the part with the most tokens, the last one among equals. */
  static Optional<String> largest(String list) {
    if (list == null) {
      return Optional.empty();
    }
    Optional<String> largest = Optional.empty();
    long most = 0;
    for (String part : PARTS.split(list)) {
      int separator = part.indexOf(SEPARATOR);
      Long tokens = separator > 0 ? Longs.tryParse(part.substring(separator + 1)) : null;
      if (tokens != null && tokens >= most) {
        largest = Optional.of(part.substring(0, separator));
        most = tokens;
      }
    }
    return largest;
  }
}
