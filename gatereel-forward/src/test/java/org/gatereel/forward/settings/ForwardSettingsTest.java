package org.gatereel.forward.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.gatereel.core.model.Address;
import org.gatereel.core.scheduling.SchedulingFeature;
import org.junit.jupiter.api.Test;

class ForwardSettingsTest {
  private static final String VALID =
      """
      // comments are allowed
      {"host": "h", "dataCentre": "d", "callers": "10.0.0.1:80", "status": "10.0.0.1:81",
       "metrics": "10.0.0.1:82", "peers": "10.0.0.1:83",
       "platform": "10.0.0.9:90",
       "bounds": {"strictRevocation": true, "revocationMillis": 5000, "configurationMillis": 2000,
         "drainMillis": 2000, "graceMillis": 8000, "retryRatio": 0.8, "retrySlack": 150,
           "retryWindowMillis": 10000, "exposureShare": 0.1, "exposureSlack": 50,
           "rollbackMillis": 5000,},
      }
      """;

  private static List<String> errors(String text) {
    return assertThrows(ForwardSettingsException.class, () -> ForwardSettings.parse(text)).errors();
  }

  @Test
  void readsJsonWithCommentsAndTrailingCommas() throws Exception {
    ForwardSettings settings = ForwardSettings.parse(VALID);

    assertEquals(new Address("10.0.0.9", 90), ForwardSettings.address(settings.platform()));
    assertEquals(5_000, settings.bounds().revocationMillis());
  }

  /** A misspelt feature must not leave a host running without it. */
  @Test
  void readsFeaturesAndNamesAnUnknownOne() throws Exception {
    String features = VALID.replace("{\"host\"", "{\"features\": [\"URGENCY_ORDER\"], \"host\"");

    assertEquals(
        Set.of(SchedulingFeature.URGENCY_ORDER), ForwardSettings.parse(features).features());
    assertEquals(Set.of(), ForwardSettings.parse(VALID).features());
    assertTrue(errors(features.replace("URGENCY_ORDER", "URGENCY")).get(0).contains("URGENCY"));
  }

  @Test
  void reportsEveryError() {
    List<String> found =
        errors(
            VALID.replace("10.0.0.1:80", "nowhere").replace("\"h\"", "\" \"").replace("8000", "0"));

    assertEquals(
        List.of(
            "host: a text is needed",
            "callers: IP:PORT is needed",
            "bounds.graceMillis: must be above 0"),
        found);
  }

  @Test
  void reportsMissingAndUnknownFields() {
    assertTrue(errors(VALID.replace("{\"host\"", "{\"x\": 1, \"host\"")).get(0).contains("\"x\""));
    assertTrue(errors(VALID.replace("\"host\": \"h\",", "")).get(0).contains("host"));
    assertTrue(errors(VALID.replace("\"graceMillis\": 8000,", "")).get(0).contains("graceMillis"));
  }

  @Test
  void rejectsInvalidJsonAndPorts() {
    assertEquals(1, errors("host=h").size());
    assertTrue(errors(VALID.replace(":80\"", ":70000\"")).get(0).contains("port"));
  }
}
