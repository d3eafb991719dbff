package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.gatereel.core.load.LearntTime;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.load.TargetTimes;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

class LearntTimesMessagesTest {
  private static final TargetId TARGET = new TargetId("i-9a102b0d4e", 1_790_000_000_000L);
  private static final TargetTimes TIMES =
      new TargetTimes(LearntTime.ofMillis(27.312, 16), LearntTime.ofMillis(142.5, 4));
  private static final TargetLoad LOAD = new TargetLoad(3, 1, 0, 0, TargetLoad.NEVER);

  private static String json(Map<TargetId, TargetTimes> times) {
    LoadReport report =
        new LoadReport(
            new HostId("h1"),
            new Address("10.0.1.1", 7_215),
            LoadScope.HOST,
            -5,
            17,
            OptionalLong.of(16),
            Map.of(TARGET, LOAD),
            Map.of(),
            Map.of(),
            List.of(),
            List.of(),
            times);
    return new String(LoadMessages.write(report, 0), StandardCharsets.UTF_8);
  }

  private static LoadReport read(String json) {
    return LoadMessages.read(json.getBytes(StandardCharsets.UTF_8), 0).orElseThrow();
  }

  /** Guards against times that other hosts read differently, and against larger reports. */
  @Test
  void readsTimesAsWrittenInTheBytesThatTheLinkAssumes() {
    assertEquals(Map.of(TARGET, TIMES), read(json(Map.of(TARGET, TIMES))).times());
    TargetTimes large =
        new TargetTimes(
            LearntTime.ofMillis(999.999, 32_000), LearntTime.ofMillis(9_999.999, 32_000));
    int bytes = json(Map.of(TARGET, large)).length() - json(Map.of()).length();
    assertTrue(bytes <= 65 + ",\"times\":[]".length(), "bytes: " + bytes);
  }

  /** Guards against an upgrade during which hosts of two versions read no reports. */
  @Test
  void aReportOfAnEarlierVersionHasNoTimesAndOneWithoutTimesIsTheSame() {
    assertFalse(json(Map.of()).contains("times"));
    assertEquals(Map.of(), read(json(Map.of())).times());
    assertEquals(Map.of(TARGET, LOAD), read(json(Map.of())).loads());
  }

  /** Guards against nonsense in one figure that makes all loads of the report unreadable. */
  @Test
  void impossibleFiguresLeaveTheLoadsReadable() {
    String json = json(Map.of(TARGET, TIMES));
    for (String figure : new String[] {"\"NaN\"", "-27312", "1e999", "0"}) {
      String nonsense = json.replace("27312.0", figure);
      assertFalse(nonsense.equals(json), json);

      assertEquals(Map.of(TARGET, LOAD), read(nonsense).loads(), figure);
    }
  }
}
