package org.gatereel.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.poison.PoisonFact;
import org.junit.jupiter.api.Test;

/** How soon hosts know of requests under which targets end, and by which ways. */
class PoisonSpreadTest {
  private static final Fingerprint FATAL = new Fingerprint("00112233445566778899aabbccddeeff");

  /** Hosts have to know within 3 s; by reports alone it takes a few hops. */
  private static final long SOON_MILLIS = 300;

  private final LoadWorld world =
      LoadWorld.of("north-1", "north-2", "north-3", "south-1", "south-2", "west-1", "west-2");

  private static void sees(LoadWorld.Host host, String target) {
    long now = host.context.now();
    host.poison.recordEnd(PoisonFact.end(FATAL, new TargetId(target), now - 100, now));
    // Ends of other targets are at other moments.
    host.loads.scheduleReports();
  }

  private List<String> holders() {
    return world.hosts.values().stream()
        .filter(host -> host.poison.quarantinedCount() == 1)
        .map(host -> host.name)
        .toList();
  }

  private void convict() {
    sees(world.member("north"), "a");
    world.pass(600);
    sees(world.gatherer("south"), "b");
    world.pass(600);
    sees(world.member("west"), "c");
  }

  @Test
  void endsThatHostsOfThreeDataCentresSawAddUpAtAllOfThem() {
    world.pass(1_000);
    convict();
    world.pass(SOON_MILLIS);

    assertEquals(world.hosts.size(), holders().size(), holders().toString());
  }

  @Test
  void aHostThatStartsIsToldAll() {
    world.pass(1_000);
    convict();
    world.pass(1_000);
    LoadWorld.Host fresh = world.restart(world.member("south"));
    world.pass(2_000);

    assertEquals(1, fresh.poison.quarantinedCount());
  }

  @Test
  void aGathererThatIsSilentIsPassedOver() {
    world.pass(1_000);
    LoadWorld.Host gatherer = world.gatherer("north");
    world.silence(gatherer);
    convict();
    world.pass(2_500);

    assertEquals(world.hosts.size() - 1, holders().size(), holders().toString());
    world.heal();
    world.pass(6_000);
    assertTrue(gatherer.poison.quarantinedCount() == 1, "the gatherer was not told");
  }

  @Test
  void nothingIsToldTwiceOverALinkThatTookIt() {
    world.pass(1_000);
    convict();
    world.pass(2_000);
    int before = world.sent.size();
    world.pass(5_000);

    assertEquals(
        0,
        world.sent.subList(before, world.sent.size()).stream()
            .mapToInt(report -> report.poison().size())
            .sum());
  }
}
