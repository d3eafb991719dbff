package org.gatereel.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Simulated rollouts on many hosts with failures; the bounds must hold for each seed. */
class RolloutModelTest {
  private static final int SEEDS = 40;
  private static final double PER_SECOND = 166;
  private static final long BEFORE_MILLIS = 3_000;
  private static final long AFTER_MILLIS = 8_000;

  /** Behaviours of the new version. */
  enum Kind {
    GOOD,
    ERRORS,
    SLOW,
    LATE,
    UNDER_LOAD,
    ONE_ROUTE;

    RolloutWorld.Behaviour behaviour() {
      return (route, since, loadRatio, random) -> {
        double typical = RolloutWorld.typicalResponse(random);
        boolean affected = random.nextInt(10) < 4;
        return switch (this) {
          case GOOD -> typical;
          case ERRORS -> affected ? -Math.abs(typical) : typical;
          case SLOW -> affected ? 5 * Math.abs(typical) : typical;
          case LATE -> affected && since > 6_000 ? -Math.abs(typical) : typical;
          case UNDER_LOAD -> affected && loadRatio > 0.3 ? -Math.abs(typical) : typical;
          case ONE_ROUTE -> affected && route.equals("redeem") ? -Math.abs(typical) : typical;
        };
      };
    }
  }

  private static RolloutWorld worldWithOrder(Kind kind, long seed, int hosts) {
    RolloutWorld world = new RolloutWorld(seed, hosts, kind.behaviour());
    world.pass(BEFORE_MILLIS, PER_SECOND);
    world.order();
    return world;
  }

  private static void assertBounds(RolloutWorld world, String scene) {
    assertTrue(world.excessExposure() <= 0, () -> scene + " exposure: " + world);
    assertEquals(0, world.lateRequestsToBad, () -> scene + " after the rollback: " + world);
    List<RolloutState> ends = world.states.stream().filter(RolloutState::isEnd).toList();
    assertTrue(ends.size() <= 1, () -> scene + " has two final states: " + world);
  }

  @ParameterizedTest
  @EnumSource
  void badVersionsStayWithinTheExposureBoundAndGoodOnesAreCompletedInTime(Kind kind) {
    int inTime = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      RolloutWorld world = worldWithOrder(kind, seed, seed % 4 == 0 ? 73 : 9);
      world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

      String scene = kind + " seed " + seed;
      if (kind != Kind.GOOD) {
        assertBounds(world, scene);
      }
      boolean correct =
          world.state() == (kind == Kind.GOOD ? RolloutState.COMPLETED : RolloutState.ROLLED_BACK);
      inTime += correct && world.endedAt <= BEFORE_MILLIS + RolloutWorld.DURATION_MILLIS ? 1 : 0;
      assertEquals(0, world.arrivals.getOrDefault("refused", 0), () -> scene + " " + world);
    }
    System.out.println(kind + ": correct and in time " + inTime + " of " + SEEDS);
    assertTrue(inTime >= SEEDS * 9 / 10, kind + ": in time " + inTime + " of " + SEEDS);
  }

  @ParameterizedTest
  @EnumSource
  void noRequestsGoToTheNewVersionWhileTheStoreIsUnavailable(Kind kind) {
    for (long seed = 0; seed < SEEDS / 2; seed++) {
      RolloutWorld world = worldWithOrder(kind, seed, 9);
      world.pass(2_000 + 400 * (seed % 10), PER_SECOND);
      world.storeUnavailable = true;
      world.pass(3_000, PER_SECOND);
      int before = world.arrivals.getOrDefault(RolloutWorld.NEW, 0);
      world.pass(2_000, PER_SECOND);
      int during = world.arrivals.getOrDefault(RolloutWorld.NEW, 0) - before;
      assertEquals(
          0,
          during,
          kind
              + " seed "
              + seed
              + " requests to the new version while the store was unavailable: "
              + world);
      world.storeUnavailable = false;
      world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

      if (kind != Kind.GOOD) {
        assertBounds(world, kind + " seed " + seed);
      }
      assertTrue(world.state().isEnd(), kind + " seed " + seed + " " + world);
    }
  }

  @ParameterizedTest
  @EnumSource
  void theBoundsHoldWithDisconnectedStoppedAndStartedHosts(Kind kind) {
    for (long seed = 0; seed < SEEDS / 2; seed++) {
      RolloutWorld world = worldWithOrder(kind, seed, 12);
      world.pass(1_500, PER_SECOND);
      world.hosts.get(0).disconnected = true;
      world.hosts.get(5).disconnected = true;
      world.hosts.get(1).stopped = true;
      world.pass(3_000, PER_SECOND);
      world.add(20, true);
      world.hosts.get(0).disconnected = false;
      world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

      if (kind != Kind.GOOD) {
        assertBounds(world, kind + " seed " + seed);
      }
      assertTrue(world.state().isEnd(), kind + " seed " + seed + " " + world);
    }
  }

  @Test
  void noRequestsGoToTheOldVersionAfterCompletion() {
    for (long seed = 0; seed < SEEDS; seed++) {
      RolloutWorld world = worldWithOrder(Kind.GOOD, seed, 30);
      world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);

      if (world.state() == RolloutState.COMPLETED) {
        assertEquals(0, world.sentToStopped, "seed " + seed + " " + world);
      }
    }
  }

  @Test
  void aHostThatStartsAfterTheEndUsesItsResult() {
    RolloutWorld world = worldWithOrder(Kind.GOOD, 1, 9);
    world.pass(RolloutWorld.DURATION_MILLIS + AFTER_MILLIS, PER_SECOND);
    RolloutWorld.Host started = world.add(40, false);
    world.pass(2_500, PER_SECOND);

    assertEquals(VersionRule.prefer(RolloutWorld.NEW), started.control.rule(RolloutWorld.SERVICE));
  }

  @Test
  void aSecondOrderFollowsTheFirst() {
    RolloutWorld world = worldWithOrder(Kind.ERRORS, 3, 9);
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
  void anOrderDuringARunningRolloutReplacesIt() {
    for (long seed = 0; seed < 5; seed++) {
      RolloutWorld world = worldWithOrder(Kind.GOOD, seed, 9);
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
