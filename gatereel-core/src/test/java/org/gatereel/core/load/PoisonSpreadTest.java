package org.gatereel.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.HashCode;
import java.util.List;
import java.util.Optional;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.RequestFeatures;
import org.junit.jupiter.api.Test;

/** Load reports carry facts about poison requests to all hosts. */
class PoisonSpreadTest {
  private static final RequestFeatures POISON =
      RequestFeatures.of(Optional.empty(), () -> HashCode.fromInt(1), "", List.of());

  /** Enough for a report over several hops; the requirement is 3 s. */
  private static final long REPORTED_MILLIS = 300;

  private final LoadWorld world =
      LoadWorld.of("north-1", "north-2", "north-3", "south-1", "south-2", "west-1", "west-2");

  private static void recordEnd(LoadWorld.Host host, String target) {
    long now = host.context.now();
    host.poison.recordEnd(POISON, new TargetId(target), now - 100, now);
    host.loads.scheduleReports();
  }

  private List<String> quarantiningHosts() {
    return world.hosts.values().stream()
        .filter(host -> host.poison.quarantinedCount() == 1)
        .map(host -> host.name)
        .toList();
  }

  private void recordThreeEnds() {
    recordEnd(world.member("north"), "a");
    world.pass(600);
    recordEnd(world.gatherer("south"), "b");
    world.pass(600);
    recordEnd(world.member("west"), "c");
  }

  @Test
  void endsObservedInThreeDataCentresAddUpAtAllHosts() {
    world.pass(1_000);
    recordThreeEnds();
    world.pass(REPORTED_MILLIS);

    assertEquals(world.hosts.size(), quarantiningHosts().size(), quarantiningHosts().toString());
  }

  @Test
  void aRestartedHostReceivesAllFacts() {
    world.pass(1_000);
    recordThreeEnds();
    world.pass(1_000);
    LoadWorld.Host restarted = world.restart(world.member("south"));
    world.pass(2_000);

    assertEquals(1, restarted.poison.quarantinedCount());
  }

  @Test
  void factsAreExchangedWithoutAnUnreachableGatherer() {
    world.pass(1_000);
    LoadWorld.Host gatherer = world.gatherer("north");
    world.silence(gatherer);
    recordThreeEnds();
    world.pass(2_500);

    assertEquals(
        world.hosts.size() - 1, quarantiningHosts().size(), quarantiningHosts().toString());
    world.heal();
    world.pass(6_000);
    assertTrue(gatherer.poison.quarantinedCount() == 1, "the gatherer did not receive the facts");
  }

  @Test
  void aFactIsNotSentTwiceOverALinkThatDeliveredIt() {
    world.pass(1_000);
    recordThreeEnds();
    world.pass(2_000);
    int before = world.sent.size();
    world.pass(5_000);

    assertEquals(
        0,
        world.sent.subList(before, world.sent.size()).stream()
            .mapToInt(report -> report.poison().size())
            .sum());
  }

  /** Guards against hosts that are busy with facts that change no decision. */
  @Test
  void aSingleEndIsKnownToHostsThatCollectFactsAndTheSecondBringsBothToAll() {
    world.pass(1_000);
    LoadWorld.Host receiver = world.member("south");
    recordEnd(world.member("north"), "a");
    world.pass(600);

    assertEquals(1, world.gatherer("south").poison.endCount(POISON.content()));
    assertEquals(0, receiver.poison.endCount(POISON.content()));

    recordEnd(world.member("west"), "b");
    world.pass(600);
    assertEquals(2, receiver.poison.endCount(POISON.content()));
  }
}
