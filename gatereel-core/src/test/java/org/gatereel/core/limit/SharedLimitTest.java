package org.gatereel.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Hosts together keep to the limit of a target and use most of it, also when the token issuer ends,
 * pauses or changes.
 */
class SharedLimitTest {
  private static final double MIN_USED_RATIO = 0.85;
  private static final long WARM_UP_MILLIS = LimitTokenIssuer.STARTUP_PERIOD_MILLIS;

  private static void assertWithin(LimitWorld world) {
    assertTrue(
        world.maxSentInWindow() <= world.maxAllowedInWindow(),
        world.maxSentInWindow() + " in 4 s, allowed " + world.maxAllowedInWindow());
  }

  private static void assertUsed(LimitWorld world, double minRatio) {
    double used = world.usedRatio(WARM_UP_MILLIS);
    assertTrue(used >= minRatio, "used " + used);
  }

  @ParameterizedTest
  @CsvSource({
    "9,0.2", "9,1", "9,5.4", "9,50", "73,0.2", "73,5.4", "95,0.2", "95,1", "95,5.4", "95,50",
    "300,0.2", "300,1", "300,5.4", "300,50"
  })
  void limitIsKeptAndUsedAtAnyNumberOfHosts(int hosts, double perSecond) {
    LimitWorld world = new LimitWorld(hosts, 3, perSecond, 1);
    long millis = perSecond < 1 ? 200_000 : 40_000;

    world.scheduleRequests(3 * perSecond, millis);
    world.run(millis);

    assertWithin(world);
    assertUsed(world, MIN_USED_RATIO);
  }

  @Test
  void nextHostIssuesTokensAfterTheIssuerEnds() {
    LimitWorld world = new LimitWorld(95, 5, 5.4, 2);
    world.scheduleRequests(20, 40_000);
    world.schedule(10_000, () -> world.issuer().alive = false);

    world.run(40_000);

    assertWithin(world);
    assertUsed(world, MIN_USED_RATIO);
  }

  /**
   * Hosts detect the pause and the return at different times, so two hosts issue tokens meanwhile.
   */
  @Test
  void limitIsKeptWhileTheIssuerPausesRepeatedly() {
    LimitWorld world = new LimitWorld(30, 3, 10, 3);
    world.scheduleRequests(40, 60_000);
    for (long at = 5_000; at < 55_000; at += 2_000) {
      world.schedule(at, () -> world.issuer().alive = false);
      world.schedule(at + 700, () -> world.issuer().alive = true);
    }

    world.run(60_000);

    assertWithin(world);
    assertUsed(world, 0.5);
  }

  /** The next issuer must be in another data centre, without trying all hosts of the first one. */
  @ParameterizedTest
  @CsvSource({"9", "95"})
  void limitIsUsedAfterAllHostsOfTheDataCentreEnd(int hosts) {
    LimitWorld world = new LimitWorld(hosts, 3, 5.4, 4);
    world.scheduleRequests(20, 40_000);
    world.schedule(
        10_000,
        () ->
            world.allHosts().stream()
                .filter(host -> host.dataCentre.equals(world.issuer().dataCentre))
                .toList()
                .forEach(host -> host.alive = false));

    world.run(40_000);

    assertWithin(world);
    assertUsed(world, 0.7);
  }

  /** The started hosts may rank first, and others learn of them one after the other. */
  @Test
  void limitIsKeptWhileStartingHostsBecomeKnown() {
    for (int seed = 5; seed < 25; seed++) {
      LimitWorld world = new LimitWorld(12, 1, 10, seed);
      world.scheduleRequests(40, 50_000);
      world.run(5_000);
      List<LimitWorld.Host> newHosts = new ArrayList<>();
      for (int index = 0; index < 12; index++) {
        newHosts.add(world.add());
      }
      List<LimitWorld.Host> allHosts = world.allHosts();
      newHosts.forEach(host -> host.setKnownHosts(allHosts));
      for (int index = 0; index < 12; index++) {
        LimitWorld.Host oldHost = allHosts.get(index);
        world.schedule(700L * index, () -> oldHost.setKnownHosts(allHosts));
      }

      world.run(45_000);

      assertWithin(world);
      assertUsed(world, MIN_USED_RATIO);
    }
  }

  @Test
  void limitIsKeptWhenAllHostsRestartTogether() {
    LimitWorld world = new LimitWorld(9, 3, 5.4, 6);
    world.run(60_000);
    List<LimitWorld.Host> oldHosts = world.allHosts();
    oldHosts.forEach(host -> host.alive = false);
    List<LimitWorld.Host> newHosts = new ArrayList<>();
    for (int index = 0; index < 9; index++) {
      newHosts.add(world.add());
    }
    newHosts.forEach(host -> host.setKnownHosts(List.of(host)));
    for (int index = 0; index < 9; index++) {
      LimitWorld.Host host = newHosts.get(index);
      world.schedule(300L * index, () -> host.setKnownHosts(newHosts));
    }

    world.scheduleRequests(40, 30_000);
    world.run(30_000);

    assertWithin(world);
  }

  @Test
  void limitIsKeptDuringANetworkPartition() {
    LimitWorld world = new LimitWorld(30, 3, 5.4, 7);
    world.scheduleRequests(30, 30_000);
    world.schedule(
        5_000,
        () ->
            world.allHosts().stream()
                .filter(host -> !host.dataCentre.equals(world.issuer().dataCentre))
                .forEach(host -> host.cutOff = true));
    world.schedule(15_000, () -> world.allHosts().forEach(host -> host.cutOff = false));

    world.run(30_000);

    assertWithin(world);
  }

  /** A callback acquires another token while the callbacks of its batch are still pending. */
  @Test
  void callbackThatAcquiresAgainDoesNotDelayOthers() {
    LimitWorld world = new LimitWorld(2, 1, 5, 9);
    List<Boolean> grants = new ArrayList<>();
    LimitWorld.Host requester =
        world.allHosts().stream().filter(host -> host != world.issuer()).findFirst().orElseThrow();

    requester.acquire(grants::add);
    requester.acquire(
        granted -> {
          grants.add(granted);
          requester.acquire(grants::add);
        });
    requester.acquire(grants::add);
    world.run(1_000);

    assertEquals(4, grants.size());
  }

  /** Each request causes at most one token request. */
  @Test
  void numberOfTokenRequestsIsBounded() {
    LimitWorld world = new LimitWorld(95, 5, 5.4, 8);

    world.scheduleRequests(50, 40_000);
    world.run(40_000);

    assertTrue(world.tokenRequests() <= 50 * 40, "token requests " + world.tokenRequests());
  }
}
