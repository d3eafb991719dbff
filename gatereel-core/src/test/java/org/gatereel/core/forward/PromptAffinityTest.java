package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.TargetDescription;
import org.junit.jupiter.api.Test;

class PromptAffinityTest {
  private static final int ENGINES = 8;

  private static ForwardWorld host(long seed) {
    ForwardWorld world = new ForwardWorld(seed);
    List<TargetDescription> targets = new ArrayList<>();
    for (int index = 0; index < ENGINES; index++) {
      targets.add(ForwardWorld.target("n" + index, ForwardWorld.ENGINES, "north"));
      targets.add(ForwardWorld.target("s" + index, ForwardWorld.ENGINES, "south"));
    }
    world.list(targets.toArray(TargetDescription[]::new));
    return world;
  }

  private static String targetFor(ForwardWorld world, String promptPart) {
    world.promptPart = Optional.of(promptPart);
    world.ask("/stream/x", new ForwardWorld.Caller());
    return world.last().target();
  }

  @Test
  void twoHostsSendThePromptOfACallerWhoComesBackToTheSameEngine() {
    for (int part = 0; part < 20; part++) {
      assertEquals(targetFor(host(1), "part" + part), targetFor(host(2), "part" + part));
    }
  }

  @Test
  void differentPromptsAreSpreadOverTheEnginesOfTheDataCentre() {
    Set<String> used = new HashSet<>();
    for (int part = 0; part < 60; part++) {
      used.add(targetFor(host(part), "part" + part));
    }

    assertEquals(ENGINES, used.size());
    assertTrue(used.stream().allMatch(name -> name.startsWith("n")));
  }

  @Test
  void anEngineThatHasMoreRequestsThanOthersIsPassedOver() {
    ForwardWorld world = host(1);
    String preferred = targetFor(world, "part");
    world.last().accepted().head(200, true).event(1);

    assertNotEquals(preferred, targetFor(world, "part"));
  }

  @Test
  void anEngineThatStillReadsAPromptIsPassedOver() {
    ForwardWorld world = host(1);
    String preferred = targetFor(world, "part");

    assertNotEquals(preferred, targetFor(world, "part"));
  }

  @Test
  void aPromptThatWasLetGoIsNotReadAnyMore() {
    ForwardWorld world = host(1);
    world.promptPart = Optional.of("part");
    Exchange exchange = world.ask("/stream/x", new ForwardWorld.Caller()).orElseThrow();
    String preferred = world.last().target();
    exchange.callerGone();

    assertEquals(preferred, targetFor(world, "part"));
  }

  @Test
  void anEngineThatFailsIsPassedOverForTheSecondThatAllHostsPrefer() {
    String second = afterFailure(host(1));

    assertEquals(second, afterFailure(host(2)));
  }

  private static String afterFailure(ForwardWorld world) {
    for (int part = 0; part < ENGINES; part++) {
      targetFor(world, "earlier" + part);
      world.last().accepted().head(200, true).event(1).listener.ended();
    }
    targetFor(world, "part");
    world.fail(world.last(), TargetFailure.NOT_CONNECTED);
    return world.last().target();
  }
}
