package org.gatereel.control.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * An event in the log of a host.
 *
 * @param detail pairs of the form {@code name=value}, separated by spaces
 */
public record LogLine(String time, String host, String name, String subject, String detail) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Parses a line, ignoring any text before the JSON; empty if the line is not an event. */
  public static Optional<LogLine> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode node = MAPPER.readTree(text.substring(start));
      return Optional.of(
          new LogLine(
              node.path("time").asText(),
              node.path("host").asText(),
              node.path("name").asText(),
              node.path("subject").asText(),
              node.path("detail").asText()));
    } catch (JsonProcessingException e) {
      // Log files also contain other output, such as that of the Java runtime.
      return Optional.empty();
    }
  }

  /** Returns the values in {@link #detail} by name. */
  public Map<String, String> detailValues() {
    Map<String, String> inputs = new HashMap<>();
    for (String pair : detail.split(" ")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        inputs.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    return inputs;
  }

  /** Returns a value in {@link #detail}, or a dash if there is none. */
  String detailValue(String name) {
    return detailValues().getOrDefault(name, "-");
  }

  /** Returns a value in {@link #detail} as a number; empty if it is absent or not an integer. */
  OptionalLong detailNumber(String name) {
    try {
      return OptionalLong.of(Long.parseLong(detailValue(name)));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
