package org.gatereel.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.platform.StoreLimits;

/** Reads settings in JSON with comments and reports all mistakes together. */
public final class SettingsReader {
  private static final int DEFAULT_DRAIN_MILLIS = 600_000;
  private static final int DEFAULT_BALANCER_MILLIS = 3_000;
  private static final int MAX_MILLIS = 86_400_000;
  private static final int DEFAULT_BODY_BYTES = 1 << 20;
  private static final int MAX_BYTES = 1 << 28;
  private static final int DEFAULT_WAITING_BYTES = 1 << 18;
  private static final int MIN_BYTES = 1 << 10;
  private static final int MAX_STORE_WRITES_PER_SECOND = 1_000_000;
  private static final int MAX_ROWS_PER_TRANSACTION = 100_000;
  private static final int DEFAULT_EVENT_RING = 4_096;
  private static final int MAX_EVENT_RING = 1 << 20;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .build();

  private SettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @throws SettingsException if the file cannot be read or has mistakes
   */
  public static Settings read(Path file) throws SettingsException {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new SettingsException(
          List.of(new SettingsException.Mistake("file", file.toString(), "a file to read")));
    }
  }

  /**
   * Parses the text of a settings file.
   *
   * @throws SettingsException if the text has mistakes
   */
  public static Settings parse(String text) throws SettingsException {
    List<SettingsException.Mistake> mistakes = new ArrayList<>();
    SettingsNode root = new SettingsNode(tree(text), "", mistakes);
    Settings settings =
        new Settings(
            new HostId(root.name("host")),
            new DataCentre(root.name("dataCentre")),
            root.object("httpAddress", SettingsReader::address),
            root.object("peerAddress", SettingsReader::address),
            root.object("platform", SettingsReader::address),
            new StoreLimits(
                root.number(
                    "storeWritesPerSecond",
                    1,
                    MAX_STORE_WRITES_PER_SECOND,
                    StoreLimits.STANDARD.writesPerSecond()),
                root.number(
                    "storeRowsPerTransaction",
                    1,
                    MAX_ROWS_PER_TRANSACTION,
                    StoreLimits.STANDARD.rowsPerTransaction())),
            root.list("peers", SettingsReader::peer),
            root.list("operators", SettingsReader::operator),
            root.number("drainMillis", 0, MAX_MILLIS, DEFAULT_DRAIN_MILLIS),
            root.number("balancerMillis", 0, MAX_MILLIS, DEFAULT_BALANCER_MILLIS),
            root.number("mostBodyBytes", MIN_BYTES, MAX_BYTES, DEFAULT_BODY_BYTES),
            root.number("mostWaitingBytes", MIN_BYTES, MAX_BYTES, DEFAULT_WAITING_BYTES),
            root.number("eventRing", 1, MAX_EVENT_RING, DEFAULT_EVENT_RING),
            root.choice("logLevel", Settings.LogLevel.class, Settings.LogLevel.INFO));
    root.rejectUnknownKeys();
    if (!mistakes.isEmpty()) {
      throw new SettingsException(mistakes);
    }
    return settings;
  }

  private static JsonNode tree(String text) throws SettingsException {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      String where =
          e.getLocation() == null
              ? "file"
              : "line " + e.getLocation().getLineNr() + ", column " + e.getLocation().getColumnNr();
      throw new SettingsException(
          List.of(
              new SettingsException.Mistake(
                  where, e.getOriginalMessage(), "JSON, with // and /* */ comments")));
    }
  }

  private static Address address(SettingsNode node) {
    return new Address(node.ip("ip"), node.port("port"));
  }

  private static HostDescription peer(SettingsNode node) {
    return new HostDescription(
        new HostId(node.name("host")),
        new DataCentre(node.name("dataCentre")),
        node.object("peerAddress", SettingsReader::address),
        node.object("httpAddress", SettingsReader::address),
        LifeState.LIVE);
  }

  private static Settings.Operator operator(SettingsNode node) {
    return new Settings.Operator(node.name("name"), node.hash("keySha256"));
  }
}
