package org.gatereel.forward.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.model.Address;
import org.gatereel.core.rollout.RolloutBounds;

/**
 * The settings of a forwarding host: JSON with comments.
 *
 * @param host the name of this host, unique among live ones
 * @param dataCentre where it stands
 * @param callers IP:PORT on which callers are taken
 * @param status IP:PORT on which readiness is asked for
 * @param metrics IP:PORT on which metrics are asked for
 * @param peers IP:PORT on which other hosts ask for documents
 * @param platform IP:PORT of the platform's store
 * @param bounds the times and amounts that the operators promise their users
 */
public record ForwardSettings(
    @JsonProperty(required = true) String host,
    @JsonProperty(required = true) String dataCentre,
    @JsonProperty(required = true) String callers,
    @JsonProperty(required = true) String status,
    @JsonProperty(required = true) String metrics,
    @JsonProperty(required = true) String peers,
    @JsonProperty(required = true) String platform,
    @JsonProperty(required = true) Bounds bounds) {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .build();

  private static final int MOST_PORT = 65_535;

  /**
   * What the operators promise.
   *
   * @param strictRevocation whether a host out of touch must stop taking keys
   * @param revocationMillis how long a removed key may still be taken
   * @param configurationMillis how long a change may take to be in force
   * @param drainMillis how long a leaving target may still get new requests
   * @param graceMillis how long a host may take to stop
   * @param retryRatio how many repeats a service's requests allow for each of them
   * @param retrySlack how many repeats are allowed beside, over all hosts
   * @param retryWindowMillis the span over which repeats and requests are counted
   * @param exposureShare the part of a service's requests that a bad version may get
   * @param exposureSlack how many requests it may get beside, over all hosts
   * @param rollbackMillis how long after it is known to be bad it may still get any
   */
  public record Bounds(
      boolean strictRevocation,
      long revocationMillis,
      long configurationMillis,
      long drainMillis,
      long graceMillis,
      double retryRatio,
      double retrySlack,
      long retryWindowMillis,
      double exposureShare,
      double exposureSlack,
      long rollbackMillis) {
    /** Returns what holds for roll-outs. */
    public RolloutBounds rollouts() {
      return new RolloutBounds(exposureShare, exposureSlack, rollbackMillis);
    }

    /** Returns within which time a host must know of any change. */
    public long maxStalenessMillis() {
      return Math.min(configurationMillis, drainMillis);
    }
  }

  /**
   * Reads a settings file.
   *
   * @throws ForwardSettingsException if it cannot be read or has mistakes; it names all it can
   */
  public static ForwardSettings read(Path file) throws ForwardSettingsException {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new ForwardSettingsException(List.of("the file cannot be read: " + file));
    }
  }

  /**
   * Reads settings from a text.
   *
   * @throws ForwardSettingsException if it has mistakes
   */
  public static ForwardSettings parse(String text) throws ForwardSettingsException {
    ForwardSettings settings;
    try {
      settings = MAPPER.readValue(text, ForwardSettings.class);
    } catch (JsonProcessingException e) {
      throw new ForwardSettingsException(List.of(e.getOriginalMessage()));
    }
    List<String> mistakes = settings.mistakes();
    if (!mistakes.isEmpty()) {
      throw new ForwardSettingsException(mistakes);
    }
    return settings;
  }

  /** Returns an address of these settings, which was checked when they were read. */
  public static Address address(String text) {
    int colon = text.lastIndexOf(':');
    return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  private List<String> mistakes() {
    List<String> mistakes = new ArrayList<>();
    checkText(mistakes, "host", host);
    checkText(mistakes, "dataCentre", dataCentre);
    checkAddress(mistakes, "callers", callers);
    checkAddress(mistakes, "status", status);
    checkAddress(mistakes, "metrics", metrics);
    checkAddress(mistakes, "peers", peers);
    checkAddress(mistakes, "platform", platform);
    if (bounds == null) {
      mistakes.add("bounds: missing");
      return mistakes;
    }
    checkPositive(mistakes, "bounds.revocationMillis", bounds.revocationMillis());
    checkPositive(mistakes, "bounds.configurationMillis", bounds.configurationMillis());
    checkPositive(mistakes, "bounds.drainMillis", bounds.drainMillis());
    checkPositive(mistakes, "bounds.graceMillis", bounds.graceMillis());
    checkPositive(mistakes, "bounds.retryWindowMillis", bounds.retryWindowMillis());
    if (bounds.retryRatio() < 0 || bounds.retrySlack() < 0) {
      mistakes.add("bounds.retryRatio, bounds.retrySlack: not below 0");
    }
    checkPositive(mistakes, "bounds.rollbackMillis", bounds.rollbackMillis());
    if (bounds.exposureShare() < 0 || bounds.exposureShare() > 1 || bounds.exposureSlack() < 0) {
      mistakes.add("bounds.exposureShare: between 0 and 1; bounds.exposureSlack: not below 0");
    }
    return mistakes;
  }

  private static void checkText(List<String> mistakes, String name, String value) {
    if (value == null || value.isBlank()) {
      mistakes.add(name + ": a text is needed");
    }
  }

  private static void checkPositive(List<String> mistakes, String name, long value) {
    if (value <= 0) {
      mistakes.add(name + ": must be above 0");
    }
  }

  private static void checkAddress(List<String> mistakes, String name, String value) {
    if (value == null || !value.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
      mistakes.add(name + ": IP:PORT is needed");
      return;
    }
    int port = address(value).port();
    if (port < 1 || port > MOST_PORT) {
      mistakes.add(name + ": the port must be between 1 and " + MOST_PORT);
    }
  }
}
