package org.gatereel.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Hosts that together send a target what it takes: never more than it bears, and not much less
 * while more is asked for, also where the host that lends is lost, comes back or changes.
 */
class SharedLimitTest {
  private static final double USED = 0.85;
  private static final long WARM = LimitTokenIssuer.STARTUP_PERIOD_MILLIS;

  private static void assertWithin(LimitWorld world) {
    assertTrue(
        world.mostInWindow() <= world.borne(),
        world.mostInWindow() + " in 4 s, borne " + world.borne());
  }

  private static void assertUsed(LimitWorld world, double least) {
    double used = world.used(WARM);
    assertTrue(used >= least, "used " + used);
  }

  @ParameterizedTest
  @CsvSource({
    "9,0.2", "9,1", "9,5.4", "9,50", "73,0.2", "73,5.4", "95,0.2", "95,1", "95,5.4", "95,50",
    "300,0.2", "300,1", "300,5.4", "300,50"
  })
  void theLimitIsKeptAndUsedAtAnyNumberOfHosts(int hosts, double perSecond) {
    LimitWorld world = new LimitWorld(hosts, 3, perSecond, 1);
    long millis = perSecond < 1 ? 200_000 : 40_000;

    world.ask(3 * perSecond, millis);
    world.run(millis);

    assertWithin(world);
    assertUsed(world, USED);
  }

  @Test
  void aLenderThatEndsIsFollowedByTheNext() {
    LimitWorld world = new LimitWorld(95, 5, 5.4, 2);
    world.ask(20, 40_000);
    world.in(10_000, () -> world.lender().alive = false);

    world.run(40_000);

    assertWithin(world);
    assertUsed(world, USED);
  }

  /** Those that passed it over come back at different times, and two hosts lend meanwhile. */
  @Test
  void aLenderThatPausesAgainAndAgainAddsNoMoreThanIsBorne() {
    LimitWorld world = new LimitWorld(30, 3, 10, 3);
    world.ask(40, 60_000);
    for (long at = 5_000; at < 55_000; at += 2_000) {
      world.in(at, () -> world.lender().alive = false);
      world.in(at + 700, () -> world.lender().alive = true);
    }

    world.run(60_000);

    assertWithin(world);
    assertUsed(world, 0.5);
  }

  /** Also where they are many: the next lender is found elsewhere, and not after all of them. */
  @ParameterizedTest
  @CsvSource({"9", "95"})
  void allHostsOfTheTargetsDataCentreMayEndAtOnce(int hosts) {
    LimitWorld world = new LimitWorld(hosts, 3, 5.4, 4);
    world.ask(20, 40_000);
    world.in(
        10_000,
        () ->
            world.all().stream()
                .filter(host -> host.dataCentre.equals(world.lender().dataCentre))
                .toList()
                .forEach(host -> host.alive = false));

    world.run(40_000);

    assertWithin(world);
    assertUsed(world, 0.7);
  }

  /** It would rank first, and others hear of it one after the other, within eight seconds. */
  @Test
  void aHostThatStartsLendsOnlyOnceAllKnowOfIt() {
    for (int seed = 5; seed < 25; seed++) {
      LimitWorld world = new LimitWorld(12, 1, 10, seed);
      world.ask(40, 50_000);
      world.run(5_000);
      List<LimitWorld.Host> fresh = new ArrayList<>();
      for (int index = 0; index < 12; index++) {
        fresh.add(world.add());
      }
      List<LimitWorld.Host> all = world.all();
      fresh.forEach(host -> host.knows(all));
      for (int index = 0; index < 12; index++) {
        LimitWorld.Host old = all.get(index);
        world.in(700L * index, () -> old.knows(all));
      }

      world.run(45_000);

      assertWithin(world);
      assertUsed(world, USED);
    }
  }

  @Test
  void hostsThatAllStartTogetherKeepTheLimitToo() {
    LimitWorld world = new LimitWorld(9, 3, 5.4, 6);
    world.run(60_000);
    List<LimitWorld.Host> old = world.all();
    old.forEach(host -> host.alive = false);
    List<LimitWorld.Host> fresh = new ArrayList<>();
    for (int index = 0; index < 9; index++) {
      fresh.add(world.add());
    }
    fresh.forEach(host -> host.knows(List.of(host)));
    for (int index = 0; index < 9; index++) {
      LimitWorld.Host host = fresh.get(index);
      world.in(300L * index, () -> host.knows(fresh));
    }

    world.ask(40, 30_000);
    world.run(30_000);

    assertWithin(world);
  }

  @Test
  void hostsThatReachNoOtherSendNothingMoreThanBorne() {
    LimitWorld world = new LimitWorld(30, 3, 5.4, 7);
    world.ask(30, 30_000);
    world.in(
        5_000,
        () ->
            world.all().stream()
                .filter(host -> !host.dataCentre.equals(world.lender().dataCentre))
                .forEach(host -> host.cutOff = true));
    world.in(15_000, () -> world.all().forEach(host -> host.cutOff = false));

    world.run(30_000);

    assertWithin(world);
  }

  /** Whoever is answered asks again at once, while others who asked with it wait for theirs. */
  @Test
  void anAnswerThatAsksAgainTakesNobodysPlace() {
    LimitWorld world = new LimitWorld(2, 1, 5, 9);
    List<Boolean> answers = new ArrayList<>();
    LimitWorld.Host borrower =
        world.all().stream().filter(host -> host != world.lender()).findFirst().orElseThrow();

    borrower.take(answers::add);
    borrower.take(
        granted -> {
          answers.add(granted);
          borrower.take(answers::add);
        });
    borrower.take(answers::add);
    world.run(1_000);

    assertEquals(4, answers.size());
  }

  /** Each request asks once at the most, and few where nothing is to be had. */
  @Test
  void questionsAreFew() {
    LimitWorld world = new LimitWorld(95, 5, 5.4, 8);

    world.ask(50, 40_000);
    world.run(40_000);

    assertTrue(world.asked() <= 50 * 40, "asked " + world.asked());
  }
}
