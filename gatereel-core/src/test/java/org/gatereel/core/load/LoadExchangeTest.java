package org.gatereel.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.HashCode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.RequestFeatures;
import org.junit.jupiter.api.Test;

class LoadExchangeTest {
  private static final String[] NAMES = {
    "north-1", "north-2", "north-3", "south-1", "south-2", "west-1"
  };
  private static final long SETTLED_MILLIS = 1_500;

  /** Enough for a report over several hops, with the batch delay and pause of each link. */
  private static final long REPORTED_MILLIS = 500;

  /** The pause of a stream that callers accept; by then all hosts know of a change. */
  private static final long PAUSE_MILLIS = 700;

  private static LoadWorld settledWorld() {
    LoadWorld world = LoadWorld.of(NAMES);
    world.pass(SETTLED_MILLIS);
    return world;
  }

  @Test
  void openRequestsOfAHostAreCountedOnceAtAllOthersAndNotAtItself() {
    LoadWorld world = settledWorld();
    for (LoadWorld.Host opener : world.hosts.values()) {
      opener.open(2);
      world.pass(REPORTED_MILLIS);

      for (LoadWorld.Host host : world.hosts.values()) {
        assertEquals(host == opener ? 0 : 2, host.othersOpen(), opener.name + " to " + host.name);
      }
      opener.close(2);
      world.pass(REPORTED_MILLIS);
      assertTrue(world.hosts.values().stream().allMatch(host -> host.othersOpen() == 0));
    }
  }

  @Test
  void loadsOfSeveralHostsAddUp() {
    LoadWorld world = settledWorld();
    world.hosts.values().forEach(host -> host.open(1));
    world.pass(REPORTED_MILLIS);

    assertTrue(world.hosts.values().stream().allMatch(host -> host.othersOpen() == 5));
  }

  @Test
  void anObservedFailureIsReportedWithItsTime() {
    LoadWorld world = settledWorld();
    LoadWorld.Host observer = world.member("north");
    observer.targets.recordFailure(observer.engineState(), TargetFailure.TIMEOUT);
    long failedAt = observer.context.now();
    observer.loads.scheduleReports();
    world.pass(REPORTED_MILLIS);

    assertEquals(failedAt, world.host("west-1").loads.othersLoad(LoadWorld.ENGINE).failedAt());
  }

  @Test
  void theLoadOfAHostThatStoppedExpires() {
    LoadWorld world = settledWorld();
    LoadWorld.Host stopped = world.member("south");
    stopped.open(3);
    world.pass(REPORTED_MILLIS);
    world.silence(stopped);
    world.pass(LoadTable.LEASE_MILLIS + LoadExchange.HEARTBEAT_MILLIS + REPORTED_MILLIS);

    assertEquals(0, world.host("west-1").othersOpen());
    assertEquals(0, world.member("north").othersOpen());
  }

  @Test
  void reportedLoadsExpireAtAHostThatReceivesNoReports() {
    LoadWorld world = settledWorld();
    world.host("north-1").open(1);
    world.pass(REPORTED_MILLIS);
    LoadWorld.Host isolated = world.host("west-1");
    assertEquals(1, isolated.othersOpen());
    world.silence(isolated);
    world.pass(LoadTable.LEASE_MILLIS + 1);

    assertEquals(0, isolated.othersOpen());
  }

  @Test
  void theNextHostReplacesAGathererThatDoesNotRespond() {
    LoadWorld world = settledWorld();
    world.silence(world.gatherer("north"));
    world.pass(LoadTable.LEASE_MILLIS + 2 * SETTLED_MILLIS);
    LoadWorld.Host remaining =
        world.hosts.values().stream()
            .filter(host -> host.dataCentre.equals("north"))
            .filter(host -> host.directory.higherRankedHosts().size() == 2)
            .findFirst()
            .orElseThrow();
    remaining.open(2);
    world.pass(SETTLED_MILLIS);

    assertEquals(2, world.host("west-1").othersOpen());
    assertEquals(2, world.gatherer("south").othersOpen());
  }

  @Test
  void aRestartedHostReceivesAllLoads() {
    LoadWorld world = settledWorld();
    world.gatherer("south").open(2);
    world.pass(REPORTED_MILLIS);
    LoadWorld.Host restarted = world.restart(world.member("north"));
    world.pass(SETTLED_MILLIS);

    assertEquals(2, restarted.othersOpen());
  }

  @Test
  void aRestartedGathererReceivesAllLoadsAndForwardsThem() {
    LoadWorld world = settledWorld();
    world.member("north").open(2);
    world.pass(REPORTED_MILLIS);
    LoadWorld.Host restarted = world.restart(world.gatherer("north"));
    world.pass(2 * SETTLED_MILLIS);

    assertEquals(2, restarted.othersOpen());
    assertEquals(2, world.host("west-1").othersOpen());
  }

  @Test
  void anOutdatedReportChangesNothing() {
    LoadWorld world = settledWorld();
    LoadWorld.Host receiver = world.host("west-1");
    HostId sender = new HostId("north-9");
    Map<TargetId, TargetLoad> three =
        Map.of(LoadWorld.ENGINE, new TargetLoad(3, 0, 0, 0, TargetLoad.NEVER));
    assertTrue(receiver.loads.receive(report(sender, receiver, 5, OptionalLong.empty(), Map.of())));
    assertTrue(receiver.loads.receive(report(sender, receiver, 4, OptionalLong.empty(), three)));

    assertEquals(0, receiver.othersOpen());
  }

  @Test
  void aReportBasedOnAnUnknownOneIsNotApplied() {
    LoadWorld world = settledWorld();
    LoadWorld.Host receiver = world.host("west-1");

    assertFalse(
        receiver.loads.receive(
            report(new HostId("north-9"), receiver, 5, OptionalLong.of(4), Map.of())));
  }

  private static LoadReport report(
      HostId sender,
      LoadWorld.Host receiver,
      long sequence,
      OptionalLong builtOn,
      Map<TargetId, TargetLoad> loads) {
    return new LoadReport(
        sender, receiver.address, LoadScope.DATA_CENTRE, 1, sequence, builtOn, loads, Map.of());
  }

  @Test
  void oneReportAtATimeIsSentToAHostThatIsBothReporterAndGatherer() {
    LoadWorld world = settledWorld();
    LoadWorld.Host member = world.member("north");
    LoadWorld.Host gatherer = world.gatherer("north");
    LoadReport reportToMember =
        new LoadReport(
            gatherer.context.self(),
            gatherer.address,
            LoadScope.HOST,
            9,
            1,
            OptionalLong.empty(),
            Map.of(),
            Map.of());
    assertTrue(member.loads.receive(reportToMember));
    member.open(1);
    world.pass(REPORTED_MILLIS);

    assertEquals(1, gatherer.othersOpen());
  }

  @Test
  void onlyHeartbeatsAreSentWhileNothingChanges() {
    LoadWorld world = settledWorld();
    world.sent.clear();
    world.pass(10 * LoadExchange.HEARTBEAT_MILLIS);

    // Three members and their gatherers exchange reports, and three gatherers among themselves.
    assertTrue(world.sent.size() <= 11 * (3 + 3 + 6), "reports: " + world.sent.size());
    assertTrue(world.sent.stream().allMatch(report -> report.loads().isEmpty()));
  }

  @Test
  void aLinkStaysWithinItsBandwidthLimitWhateverTheRateOfChanges() {
    LoadWorld world = settledWorld();
    LoadWorld.Host busy = world.member("north");
    world.sent.clear();
    for (int step = 0; step < 1_000; step++) {
      busy.open(1);
      world.pass(1);
    }

    long reports =
        world.sent.stream().filter(report -> report.sender().value().equals(busy.name)).count();
    assertTrue(reports <= 15, "reports in a second: " + reports);
  }

  /** Guards against loads that stand still while facts of many ended targets are sent. */
  @Test
  void manyEndsOfTargetsDelayNoLoads() {
    LoadWorld world = settledWorld();
    for (LoadWorld.Host host : world.hosts.values()) {
      recordEnds(host, 150);
    }
    world.pass(200);
    world.member("north").open(1);
    world.pass(PAUSE_MILLIS);

    assertEquals(1, world.host("west-1").othersOpen());
    assertEquals(1, world.member("south").othersOpen());
  }

  private static void recordEnds(LoadWorld.Host host, int requests) {
    long now = host.context.now();
    for (int index = 0; index < requests; index++) {
      HashCode content = HashCode.fromInt(host.name.hashCode() + index);
      TargetId ended = new TargetId(host.name + "-ended-" + index / 12);
      host.poison.recordEnd(
          RequestFeatures.of(Optional.empty(), () -> content, "", List.of()),
          ended,
          now - 100,
          now);
    }
  }

  /** Guards against loads that stand still while the demand of many accounts is sent. */
  @Test
  void theDemandOfManyAccountsDelaysNoLoads() {
    LoadWorld world = settledWorld();
    LoadWorld.Host busy = world.member("north");
    ServiceName service = new ServiceName("engines");
    Random random = new Random(5);
    busy.loads.setDemandSource(
        () ->
            IntStream.range(0, 500)
                .mapToObj(index -> new AccountId("account-" + index))
                .collect(
                    Collectors.toMap(
                        account -> new DemandKey(service, 1, Optional.of(account)),
                        account -> 1 + random.nextDouble())));
    busy.loads.scheduleReports();
    world.pass(LoadExchange.HEARTBEAT_MILLIS);
    busy.open(1);
    world.pass(PAUSE_MILLIS);

    assertEquals(1, world.host("west-1").othersOpen());
  }

  /** Guards against hosts that hear of no load because the report to another one throws. */
  @Test
  void reportThatCannotBeSentDelaysNoOtherReport() {
    LoadWorld world = settledWorld();
    LoadWorld.Host opener = world.gatherer("north");
    LoadWorld.Host first = world.host("south-1");
    world.unsendableTo.add(world.gatherer("south").address);
    opener.open(2);
    world.pass(REPORTED_MILLIS);

    assertEquals(2, world.host("west-1").othersOpen());
    assertEquals(2, world.member("north").othersOpen());

    world.unsendableTo.clear();
    world.pass(10 * LoadExchange.HEARTBEAT_MILLIS);
    assertEquals(2, first.othersOpen());
  }

  /** Guards against heartbeats that end for good after one that throws. */
  @Test
  void heartbeatThatThrowsIsFollowedByOthers() {
    LoadWorld world = settledWorld();
    LoadWorld.Host host = world.member("north");
    host.loads.setDemandSource(
        () -> {
          throw new IllegalStateException("the demand is unknown");
        });
    assertThrows(IllegalStateException.class, () -> world.pass(2 * LoadExchange.HEARTBEAT_MILLIS));
    host.loads.setDemandSource(Map::of);
    int before = world.sent.size();

    world.pass(4 * LoadExchange.HEARTBEAT_MILLIS);

    assertTrue(
        world.sent.stream()
            .skip(before)
            .anyMatch(report -> report.header().sender().value().equals(host.name)));
  }
}
