package org.gatereel.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

class LearntTimesExchangeTest {
  private static final long SETTLED_MILLIS = 1_500;

  /** Times alone cause no reports, so that each of three hops may take a heartbeat. */
  private static final long HEARD_MILLIS = 4_000;

  private static LoadWorld settledWorld() {
    LoadWorld world = LoadWorld.of("north-1", "north-2", "north-3", "south-1", "south-2");
    world.pass(SETTLED_MILLIS);
    return world;
  }

  private static TargetTimes events(double millis, double weight) {
    return new TargetTimes(LearntTime.ofMillis(millis, weight), LearntTime.UNKNOWN);
  }

  private static void learn(LoadWorld.Host host, TargetTimes times) {
    host.loads.setTimesSource(() -> Map.of(LoadWorld.ENGINE, times));
  }

  private static LearntTime othersTime(LoadWorld.Host host) {
    return host.loads.othersTimes(LoadWorld.ENGINE).event();
  }

  /** Guards against hosts that know a target only by the few streams that they see themselves. */
  @Test
  void theTimesOfTwoHostsAreCombinedByWeightAtAThird() {
    LoadWorld world = settledWorld();
    learn(world.host("north-1"), events(20, 10));
    learn(world.host("south-1"), events(80, 10));
    world.pass(HEARD_MILLIS);

    for (String name : List.of("north-2", "north-3", "south-2")) {
      assertEquals(40, othersTime(world.host(name)).millis(), 0.01, name);
      assertEquals(20, othersTime(world.host(name)).weight(), 0.01, name);
    }
    assertEquals(80, othersTime(world.host("north-1")).millis(), 0.01);
  }

  /** Guards against figures of a host that has ended, or has forgotten them. */
  @Test
  void timesThatAHostNoLongerKnowsAreForgottenElsewhere() {
    LoadWorld world = settledWorld();
    learn(world.host("north-1"), events(20, 10));
    world.pass(HEARD_MILLIS);
    world.host("north-1").loads.setTimesSource(Map::of);
    world.pass(HEARD_MILLIS);

    assertEquals(LearntTime.UNKNOWN, othersTime(world.host("south-1")));
  }

  /** Guards against a host whose impossible figures mislead all others, and against a full log. */
  @Test
  void impossibleTimesAreIgnoredWithOneLine() {
    List<TargetTimes> impossible =
        List.of(
            events(Double.NaN, 1),
            events(-5, 1),
            events(1e12, 1),
            events(20, Double.NaN),
            events(20, -1),
            events(20, Double.POSITIVE_INFINITY));
    for (TargetTimes times : impossible) {
      LoadWorld.Host host = settledWorld().gatherer("north");
      host.context.takeActions();
      for (long sequence = 1; sequence <= 3; sequence++) {
        assertTrue(host.loads.receive(report(sequence, times)));
      }

      assertEquals(LearntTime.UNKNOWN, othersTime(host), times.toString());
      assertEquals(3, host.othersOpen(), times.toString());
      assertEquals(1, linesOfUnreadableTimes(host), times.toString());
    }
  }

  private static LoadReport report(long sequence, TargetTimes times) {
    return new LoadReport(
        new HostId("north-9"),
        new Address("north-9", 7_200),
        LoadScope.HOST,
        1,
        sequence,
        OptionalLong.empty(),
        Map.of(LoadWorld.ENGINE, new TargetLoad(3, 0, 0, 0, TargetLoad.NEVER)),
        Map.of(),
        Map.of(),
        List.of(),
        List.of(),
        Map.of(LoadWorld.ENGINE, times));
  }

  private static long linesOfUnreadableTimes(LoadWorld.Host host) {
    return host.context.takeActions().stream()
        .filter(action -> action instanceof Action.LogEvent)
        .filter(action -> ((Action.LogEvent) action).code() == EventCode.TIMES_UNREADABLE)
        .count();
  }

  /** Guards against one host that outweighs all others by claiming many samples. */
  @Test
  void theWeightOfOneHostIsBounded() {
    LoadWorld world = settledWorld();
    learn(world.member("north"), events(20, 1e9));
    world.pass(HEARD_MILLIS);

    assertEquals(LearntTime.MAX_HOST_WEIGHT, othersTime(world.gatherer("north")).weight(), 0.01);
  }

  /** Guards against reports that grow with each small change, which would delay the loads. */
  @Test
  void onlyNoticeableChangesAreSentAndAFewWithEachReport() {
    SentTimes sent = new SentTimes();
    Map<TargetId, TargetTimes> times = new LinkedHashMap<>();
    for (int target = 0; target < 2 * SentTimes.MAX_PER_REPORT + 2; target++) {
      times.put(new TargetId("e" + target), events(30, 10));
    }
    assertEquals(SentTimes.MAX_PER_REPORT, sent.nextToSend(times, true, 1).size());
    assertEquals(SentTimes.MAX_PER_REPORT, sent.nextToSend(times, false, 2).size());
    assertEquals(2, sent.nextToSend(times, false, 3).size());
    times.replaceAll((target, known) -> events(32, 12));
    assertTrue(sent.nextToSend(times, false, 4).isEmpty());
    times.put(new TargetId("e3"), events(60, 12));

    assertEquals(Map.of(new TargetId("e3"), events(60, 12)), sent.nextToSend(times, false, 5));
  }
}
