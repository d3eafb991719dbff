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
import java.util.Map;
import java.util.Set;
import org.gatereel.core.model.Address;
import org.gatereel.core.rollout.RolloutBounds;
import org.gatereel.core.scheduling.SchedulingFeature;

/**
 * The settings of a forwarding host: JSON with comments.
 *
 * @param host the id of this host, unique among running hosts
 * @param dataCentre the data centre of this host
 * @param callers IP:PORT for callers' connections
 * @param status IP:PORT for readiness checks
 * @param metrics IP:PORT for metrics
 * @param peers IP:PORT for requests of other hosts
 * @param platform IP:PORT of the platform's store
 * @param bounds the limits that operators guarantee to users
 * @param features the scheduling features that are enabled; none if absent
 * @param targetAddresses the addresses, as IP:PORT, at which this host reaches targets that the
 *     platform lists under other addresses; none if absent
 */
public record ForwardSettings(
    @JsonProperty(required = true) String host,
    @JsonProperty(required = true) String dataCentre,
    @JsonProperty(required = true) String callers,
    @JsonProperty(required = true) String status,
    @JsonProperty(required = true) String metrics,
    @JsonProperty(required = true) String peers,
    @JsonProperty(required = true) String platform,
    @JsonProperty(required = true) Bounds bounds,
    Set<SchedulingFeature> features,
    Map<String, String> targetAddresses) {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();

  private static final int MAX_PORT = 65_535;

  public ForwardSettings {
    features = features == null ? Set.of() : Set.copyOf(features);
    targetAddresses = targetAddresses == null ? Map.of() : Map.copyOf(targetAddresses);
  }

  /**
   * The limits that operators guarantee to users.
   *
   * @param strictRevocation whether a host without a current configuration rejects all keys
   * @param revocationMillis the time for which a revoked key may still be accepted
   * @param configurationMillis the time until a configuration change takes effect
   * @param drainMillis the time for which a draining target may still receive new requests
   * @param graceMillis the grace period for the shutdown of a host
   * @param retryRatio the retries allowed per request of a service
   * @param retrySlack the retries allowed in addition, over all hosts
   * @param retryWindowMillis the window in which retries and requests are counted
   * @param exposureShare the ratio of a service's requests that a bad version may receive
   * @param exposureSlack the requests that it may receive in addition, over all hosts
   * @param rollbackMillis the time for which a version known to be bad may still receive requests
   */
  public record Bounds(
      @JsonProperty(required = true) boolean strictRevocation,
      @JsonProperty(required = true) long revocationMillis,
      @JsonProperty(required = true) long configurationMillis,
      @JsonProperty(required = true) long drainMillis,
      @JsonProperty(required = true) long graceMillis,
      @JsonProperty(required = true) double retryRatio,
      @JsonProperty(required = true) double retrySlack,
      @JsonProperty(required = true) long retryWindowMillis,
      @JsonProperty(required = true) double exposureShare,
      @JsonProperty(required = true) double exposureSlack,
      @JsonProperty(required = true) long rollbackMillis) {
    /** Returns the limits for rollouts. */
    public RolloutBounds rollouts() {
      return new RolloutBounds(exposureShare, exposureSlack, rollbackMillis);
    }

    /** Returns the maximum time until a host knows of a change to configuration or targets. */
    public long maxStalenessMillis() {
      return Math.min(configurationMillis, drainMillis);
    }
  }

  /**
   * Reads a settings file.
   *
   * @throws ForwardSettingsException if the file cannot be read or the settings are invalid
   */
  public static ForwardSettings read(Path file) throws ForwardSettingsException {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new ForwardSettingsException(List.of("the file cannot be read: " + file));
    }
  }

  /**
   * Parses settings.
   *
   * @throws ForwardSettingsException if they are invalid
   */
  public static ForwardSettings parse(String text) throws ForwardSettingsException {
    ForwardSettings settings;
    try {
      settings = MAPPER.readValue(text, ForwardSettings.class);
    } catch (JsonProcessingException e) {
      throw new ForwardSettingsException(List.of(e.getOriginalMessage()));
    }
    List<String> errors = settings.validate();
    if (!errors.isEmpty()) {
      throw new ForwardSettingsException(errors);
    }
    return settings;
  }

  /** Returns the address at which this host reaches a target that is listed under an address. */
  public Address translate(Address listed) {
    String reached = targetAddresses.get(listed.toString());
    return reached == null ? listed : address(reached);
  }

  /** Parses an address of validated settings. */
  public static Address address(String text) {
    int colon = text.lastIndexOf(':');
    return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  private List<String> validate() {
    List<String> errors = new ArrayList<>();
    checkText(errors, "host", host);
    checkText(errors, "dataCentre", dataCentre);
    checkAddress(errors, "callers", callers);
    checkAddress(errors, "status", status);
    checkAddress(errors, "metrics", metrics);
    checkAddress(errors, "peers", peers);
    checkAddress(errors, "platform", platform);
    targetAddresses.forEach(
        (listed, reached) -> {
          checkAddress(errors, "targetAddresses", listed);
          checkAddress(errors, "targetAddresses." + listed, reached);
        });
    if (bounds == null) {
      errors.add("bounds: missing");
      return errors;
    }
    checkPositive(errors, "bounds.revocationMillis", bounds.revocationMillis());
    checkPositive(errors, "bounds.configurationMillis", bounds.configurationMillis());
    checkPositive(errors, "bounds.drainMillis", bounds.drainMillis());
    checkPositive(errors, "bounds.graceMillis", bounds.graceMillis());
    checkPositive(errors, "bounds.retryWindowMillis", bounds.retryWindowMillis());
    if (bounds.retryRatio() < 0 || bounds.retrySlack() < 0) {
      errors.add("bounds.retryRatio, bounds.retrySlack: must not be below 0");
    }
    checkPositive(errors, "bounds.rollbackMillis", bounds.rollbackMillis());
    if (bounds.exposureShare() < 0 || bounds.exposureShare() > 1 || bounds.exposureSlack() < 0) {
      errors.add(
          "bounds.exposureShare: must be between 0 and 1; bounds.exposureSlack: must not be below 0");
    }
    return errors;
  }

  private static void checkText(List<String> errors, String name, String value) {
    if (value == null || value.isBlank()) {
      errors.add(name + ": a text is needed");
    }
  }

  private static void checkPositive(List<String> errors, String name, long value) {
    if (value <= 0) {
      errors.add(name + ": must be above 0");
    }
  }

  private static void checkAddress(List<String> errors, String name, String value) {
    if (value == null || !value.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
      errors.add(name + ": IP:PORT is needed");
      return;
    }
    int port = address(value).port();
    if (port < 1 || port > MAX_PORT) {
      errors.add(name + ": the port must be between 1 and " + MAX_PORT);
    }
  }
}
