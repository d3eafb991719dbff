package org.gatereel.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.gatereel.core.platform.StoreLimits;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
  private static final String GOOD =
      """
      {
        // who this host is
        "host": "entry-1", "dataCentre": "ollur",
        "httpAddress": {"ip": "127.0.0.1", "port": 8080},
        "peerAddress": {"ip": "127.0.0.1", "port": 8081},
        /* the platform */
        "platform": {"ip": "127.0.0.1", "port": 9000},
      }
      """;

  @Test
  void commentsAreAllowedAndMissingKeysHaveDefaults() throws SettingsException {
    Settings settings = SettingsReader.parse(GOOD);
    assertEquals("entry-1", settings.host().value());
    assertEquals(1 << 20, settings.mostBodyBytes());
    assertEquals(List.of(), settings.peers());
  }

  @Test
  void allMistakesAreReportedWithKeyValueAndAllowedValues() {
    String bad =
        GOOD.replace("8080", "99999")
            .replace("\"entry-1\"", "\"Entry 1\"")
            .replace("// who this host is", "\"hots\": 1, \"drainMillis\": -1,");
    SettingsException failure =
        assertThrows(SettingsException.class, () -> SettingsReader.parse(bad));
    List<String> keys =
        failure.mistakes().stream().map(SettingsException.Mistake::key).sorted().toList();
    assertEquals(List.of("drainMillis", "host", "hots", "httpAddress.port"), keys);
    assertTrue(failure.getMessage().contains("99999"));
    assertTrue(failure.getMessage().contains("1 to 65535"));
  }

  @Test
  void storeLimitsAreReadFromTheSettings() throws SettingsException {
    assertEquals(StoreLimits.STANDARD, SettingsReader.parse(GOOD).storeLimits());
    String rates = "\"host\": \"entry-1\", \"storeWritesPerSecond\": 1200,";
    String changed = GOOD.replace("\"host\": \"entry-1\",", rates);
    assertEquals(new StoreLimits(1_200, 100), SettingsReader.parse(changed).storeLimits());
    String none = GOOD.replace("\"host\": \"entry-1\",", rates.replace("1200", "0"));
    SettingsException failure =
        assertThrows(SettingsException.class, () -> SettingsReader.parse(none));
    assertEquals("storeWritesPerSecond", failure.mistakes().get(0).key());
  }

  @Test
  void missingKeyIsAMistakeUnlessItHasADefault() {
    String bad = GOOD.replace("\"dataCentre\": \"ollur\",", "");
    SettingsException failure =
        assertThrows(SettingsException.class, () -> SettingsReader.parse(bad));
    assertEquals("dataCentre", failure.mistakes().get(0).key());
  }

  @Test
  void invalidJsonIsReportedWithItsLocation() {
    SettingsException failure =
        assertThrows(SettingsException.class, () -> SettingsReader.parse("{\n  \"host\": }"));
    assertTrue(failure.mistakes().get(0).key().startsWith("line 2"), failure.getMessage());
  }
}
