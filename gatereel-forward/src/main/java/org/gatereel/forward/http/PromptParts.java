package org.gatereel.forward.http;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Parses the list of a prompt's parts, {@code NAME:TOKENS,NAME:TOKENS}.
 *
 * <p>The result is only a hint for the choice of an engine, so malformed entries are ignored. The
 * engine validates them.
 */
final class PromptParts {
  private static final Splitter PARTS = Splitter.on(',').trimResults().omitEmptyStrings();
  private static final char SEPARATOR = ':';

  /** Prompts have a few parts; further ones are ignored. */
  private static final int MAX_SHARED_PARTS = 16;

  private PromptParts() {}

  /**
   * Returns the names of the parts in order, without the last one.
   *
   * @param list may be null
   */
  static List<String> shared(String list) {
    if (list == null) {
      return List.of();
    }
    List<String> names = new ArrayList<>();
    for (String part : PARTS.split(list)) {
      int separator = part.indexOf(SEPARATOR);
      names.add(separator < 0 ? part : part.substring(0, separator));
    }
    int sharedCount = Math.min(MAX_SHARED_PARTS, names.size() - 1);
    return sharedCount <= 0 ? List.of() : List.copyOf(names.subList(0, sharedCount));
  }

  /**
   * Returns the name of the part with the most tokens; of several with as many, the last one.
   *
   * @param list may be null
   */
  static Optional<String> largest(String list) {
    if (list == null) {
      return Optional.empty();
    }
    Optional<String> largest = Optional.empty();
    long largestTokens = 0;
    for (String part : PARTS.split(list)) {
      int separator = part.indexOf(SEPARATOR);
      Long tokens = separator > 0 ? Longs.tryParse(part.substring(separator + 1)) : null;
      if (tokens != null && tokens >= largestTokens) {
        largest = Optional.of(part.substring(0, separator));
        largestTokens = tokens;
      }
    }
    return largest;
  }
}
