package org.gatereel.control.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One numbered event of a host's log.
 *
 * @param detail the inputs of the decision as they were written, pairs of the form name=value
 */
public record LogLine(String time, String host, String name, String subject, String detail) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads a line; what a collector put before the JSON is passed over. Empty if it is no event. */
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
      // Files hold other output too, as of the runtime; a line that is no event says nothing here.
      return Optional.empty();
    }
  }

  /** Returns the inputs by their names. */
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

  /** Returns an input, or a dash if the line does not have it. */
  String detailValue(String name) {
    return detailValues().getOrDefault(name, "-");
  }

  /** Returns an input that is a whole number. */
  OptionalLong detailNumber(String name) {
    try {
      return OptionalLong.of(Long.parseLong(detailValue(name)));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
