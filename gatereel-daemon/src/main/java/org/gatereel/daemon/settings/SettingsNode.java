package org.gatereel.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/** An object of the settings; validates the values that are read and collects the mistakes. */
final class SettingsNode {
  private static final int MAX_PORT = 65_535;
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final Pattern IP_ADDRESS =
      Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-f:]{2,39}");
  private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

  private final JsonNode node;
  private final String path;
  private final List<SettingsException.Mistake> mistakes;
  private final Set<String> knownKeys = new HashSet<>();

  SettingsNode(JsonNode node, String path, List<SettingsException.Mistake> mistakes) {
    this.node = node;
    this.path = path;
    this.mistakes = mistakes;
    if (!node.isObject()) {
      mistake(path.isEmpty() ? "settings" : path, node, "an object");
    }
  }

  private void mistake(String key, JsonNode value, String allowed) {
    String shown = value.isMissingNode() ? "nothing" : value.toString();
    mistakes.add(new SettingsException.Mistake(key, shown, allowed));
  }

  private JsonNode take(String key) {
    knownKeys.add(key);
    JsonNode value = node.get(key);
    return value == null ? MissingNode.getInstance() : value;
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  String name(String key) {
    return text(key, NAME, "1 to 63 of a-z, 0-9 and -, not starting with -");
  }

  String ip(String key) {
    return text(key, IP_ADDRESS, "an IP number");
  }

  String hash(String key) {
    return text(key, HASH, "a SHA-256 in 64 hexadecimal digits");
  }

  private String text(String key, Pattern pattern, String allowed) {
    JsonNode value = take(key);
    if (!value.isTextual() || !pattern.matcher(value.textValue()).matches()) {
      mistake(pathOf(key), value, allowed);
      return "";
    }
    return value.textValue();
  }

  int port(String key) {
    return number(key, 1, MAX_PORT, 1, true);
  }

  int number(String key, int min, int max, int defaultValue) {
    return number(key, min, max, defaultValue, false);
  }

  private int number(String key, int min, int max, int defaultValue, boolean required) {
    JsonNode value = take(key);
    if (value.isMissingNode() && !required) {
      return defaultValue;
    }
    if (!value.isInt() || value.intValue() < min || value.intValue() > max) {
      mistake(pathOf(key), value, "a whole number from " + min + " to " + max);
      return defaultValue;
    }
    return value.intValue();
  }

  <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    JsonNode value = take(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equals(value.asText())) {
        return constant;
      }
    }
    mistake(pathOf(key), value, List.of(type.getEnumConstants()).toString());
    return defaultValue;
  }

  <T> T object(String key, Function<SettingsNode, T> reader) {
    SettingsNode child = new SettingsNode(take(key), pathOf(key), mistakes);
    T read = reader.apply(child);
    child.rejectUnknownKeys();
    return read;
  }

  <T> List<T> list(String key, Function<SettingsNode, T> reader) {
    JsonNode value = take(key);
    List<T> read = new ArrayList<>();
    if (value.isMissingNode()) {
      return read;
    }
    if (!value.isArray()) {
      mistake(pathOf(key), value, "a list");
      return read;
    }
    for (int index = 0; index < value.size(); index++) {
      String childPath = pathOf(key) + "[" + index + "]";
      SettingsNode child = new SettingsNode(value.get(index), childPath, mistakes);
      read.add(reader.apply(child));
      child.rejectUnknownKeys();
    }
    return read;
  }

  /** Reports all keys that were not read. */
  void rejectUnknownKeys() {
    node.fieldNames()
        .forEachRemaining(
            key -> {
              if (!knownKeys.contains(key)) {
                mistake(
                    pathOf(key),
                    node.get(key),
                    "no such key; known: " + String.join(", ", knownKeys));
              }
            });
  }
}
