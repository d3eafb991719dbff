package org.gatereel.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Roll-outs over many hosts with what may fail meanwhile; the promises hold on each seed. */
class RolloutModelTest {
  private static final int SEEDS = 40;
  private static final double PER_SECOND = 166;
  private static final long BEFORE_MILLIS = 3_000;
  private static final long AFTER_MILLIS = 8_000;

  /** The versions that an operator may order. */
  enum Kind {
    GOOD,
    ERRORS,
    SLOW,
    LATE,
    UNDER_LOAD,
    ONE_ROUTE;

    RolloutWorld.Behaviour behaviour() {
      return (route, since, loadShare, random) -> {
        double usual = RolloutWorld.usual(random);
        boolean part = random.nextInt(10) < 4;
        return switch (this) {
          case GOOD -> usual;
          case ERRORS -> part ? -Math.abs(usual) : usual;
          case SLOW -> part ? 5 * Math.abs(usual) : usual;
          case LATE -> part && since > 6_000 ? -Math.abs(usual) : usual;
          case UNDER_LOAD -> part && loadShare > 0.3 ? -Math.abs(usual) : usual;
          case ONE_ROUTE -> part && route.equals("redeem") ? -Math.abs(usual) : usual;
        };
      };
    }
  }

  private static RolloutWorld ordered(Kind kind, long seed, int hosts) {
    RolloutWorld world = new RolloutWorld(seed, hosts, kind.behaviour());
    world.pass(BEFORE_MILLIS, PER_SECOND);
    world.order();
    return world;
  }

  private static void checkPromises(RolloutWorld world, String scene) {
    assertTrue(world.excessExposure() <= 0, () -> scene + " exposure: " + world);
    assertEquals(0, world.lateToBad, () -> scene + " after the rollback: " + world);
    List<RolloutState> ends = world.states.stream().filter(RolloutState::isEnd).toList();
    assertTrue(ends.size() <= 1, () -> scene + " left its end: " + world);
  }

  @ParameterizedTest
  @EnumSource
  void badVersionsStayWithinTheirExposureAndGoodOnesAreCompletedInTime(Kind kind) {
    int inTime = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      RolloutWorld world = ordered(kind, seed, seed % 4 == 0 ? 73 : 9);
      world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

      String scene = kind + " seed " + seed;
      if (kind != Kind.GOOD) {
        checkPromises(world, scene);
      }
      boolean right =
          world.state() == (kind == Kind.GOOD ? RolloutState.COMPLETED : RolloutState.ROLLED_BACK);
      inTime += right && world.endedAt <= BEFORE_MILLIS + RolloutWorld.DURATION_MILLIS ? 1 : 0;
      assertEquals(0, world.arrivals.getOrDefault("refused", 0), () -> scene + " " + world);
    }
    System.out.println(kind + ": ended rightly and in time " + inTime + " of " + SEEDS);
    assertTrue(inTime >= SEEDS * 9 / 10, kind + ": in time " + inTime + " of " + SEEDS);
  }

  @ParameterizedTest
  @EnumSource
  void aStoreThatIsAwayLetsNobodyRaiseTheShareOfAVersion(Kind kind) {
    for (long seed = 0; seed < SEEDS / 2; seed++) {
      RolloutWorld world = ordered(kind, seed, 9);
      world.pass(2_000 + 400 * (seed % 10), PER_SECOND);
      world.storeAway = true;
      world.pass(3_000, PER_SECOND);
      int before = world.arrivals.getOrDefault(RolloutWorld.NEW, 0);
      world.pass(2_000, PER_SECOND);
      int during = world.arrivals.getOrDefault(RolloutWorld.NEW, 0) - before;
      assertEquals(0, during, kind + " seed " + seed + " new while the store was away: " + world);
      world.storeAway = false;
      world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

      if (kind != Kind.GOOD) {
        checkPromises(world, kind + " seed " + seed);
      }
      assertTrue(world.state().isEnd(), kind + " seed " + seed + " " + world);
    }
  }

  @ParameterizedTest
  @EnumSource
  void hostsThatAreCutOffOrKilledOrComeAnewChangeNothingThatWasPromised(Kind kind) {
    for (long seed = 0; seed < SEEDS / 2; seed++) {
      RolloutWorld world = ordered(kind, seed, 12);
      world.pass(1_500, PER_SECOND);
      world.hosts.get(0).cutOff = true;
      world.hosts.get(5).cutOff = true;
      world.hosts.get(1).dead = true;
      world.pass(3_000, PER_SECOND);
      world.add(20, true);
      world.hosts.get(0).cutOff = false;
      world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

      if (kind != Kind.GOOD) {
        checkPromises(world, kind + " seed " + seed);
      }
      assertTrue(world.state().isEnd(), kind + " seed " + seed + " " + world);
    }
  }

  @Test
  void afterACompletedRolloutNobodyInTouchSendsToTheVersionsBefore() {
    for (long seed = 0; seed < SEEDS; seed++) {
      RolloutWorld world = ordered(Kind.GOOD, seed, 30);
      world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

      if (world.state() == RolloutState.COMPLETED) {
        assertEquals(0, world.toStopped, "seed " + seed + " " + world);
      }
    }
  }

  @Test
  void aHostThatStartsAfterTheEndFollowsIt() {
    RolloutWorld world = ordered(Kind.GOOD, 1, 9);
    world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);
    RolloutWorld.Host fresh = world.add(40, false);
    world.pass(2_500, PER_SECOND);

    assertEquals(VersionRule.prefer(RolloutWorld.NEW), fresh.control.rule(RolloutWorld.SERVICE));
  }

  @Test
  void aSecondOrderFollowsTheFirst() {
    RolloutWorld world = ordered(Kind.ERRORS, 3, 9);
    world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);
    assertEquals(RolloutState.ROLLED_BACK, world.state());

    world.order();
    world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

    assertEquals(
        List.of(
            RolloutState.RUNNING,
            RolloutState.ROLLED_BACK,
            RolloutState.RUNNING,
            RolloutState.ROLLED_BACK),
        world.states);
  }

  @Test
  void anOrderThatIsGivenWhileAnotherRunsTakesItsPlace() {
    for (long seed = 0; seed < 5; seed++) {
      RolloutWorld world = ordered(Kind.GOOD, seed, 9);
      world.pass(4_000, PER_SECOND);

      world.order();
      world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

      assertEquals(
          List.of(RolloutState.RUNNING, RolloutState.RUNNING, RolloutState.COMPLETED),
          world.states,
          "seed " + seed);
    }
  }
}
