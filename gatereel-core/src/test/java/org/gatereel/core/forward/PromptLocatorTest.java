package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Streams of callers who come back for the rest go to the engine that has their prompt. */
class PromptLocatorTest {
  private static final String PART = "part-1";

  private static ForwardWorld resumed(int callers) {
    ForwardWorld world = new ForwardWorld();
    world.promptPart = Optional.of(PART);
    world.lastEventId = OptionalLong.of(7);
    for (int index = 0; index < callers; index++) {
      world.submit("/stream/x", new ForwardWorld.Caller());
    }
    return world;
  }

  private static void answer(ForwardWorld world, String target, Optional<Set<String>> kept) {
    for (ForwardWorld.PromptQuery question : List.copyOf(world.promptQueries)) {
      if (question.target().equals(target)) {
        world.promptQueries.remove(question);
        question.response().accept(kept);
      }
    }
  }

  @Test
  void aResumedStreamGoesToTheEngineThatKeepsItsPrompt() {
    ForwardWorld world = resumed(1);
    assertEquals(3, world.promptQueries.size());
    answer(world, "e1", Optional.of(Set.of("another")));
    assertTrue(world.sentCalls.isEmpty());
    answer(world, "e3", Optional.of(Set.of(PART)));

    assertEquals("e3", world.lastCall().target());
  }

  @Test
  void ifNoEngineKeepsItTheStreamGoesOnAtAnyOnce() {
    ForwardWorld world = resumed(1);
    answer(world, "e1", Optional.of(Set.of()));
    answer(world, "e2", Optional.empty());
    answer(world, "e3", Optional.of(Set.of("another")));

    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void streamsThatReturnTogetherShareOneRoundOfQuestions() {
    ForwardWorld world = resumed(4);
    assertEquals(3, world.promptQueries.size());
    answer(world, "e2", Optional.of(Set.of(PART)));

    assertEquals(4, world.sentCalls.size());
    assertTrue(world.sentCalls.stream().allMatch(call -> call.target().equals("e2")));
  }

  @Test
  void whatEnginesKeptAWhileAgoIsAskedAgain() {
    ForwardWorld world = resumed(1);
    answer(world, "e2", Optional.of(Set.of(PART)));
    world.promptQueries.clear();
    world.advanceTime(1_000);
    world.submit("/stream/x", new ForwardWorld.Caller());

    assertEquals(3, world.promptQueries.size());
  }

  @Test
  void aCallerWhoLeavesMeanwhileIsNotSentAnywhere() {
    ForwardWorld world = new ForwardWorld();
    world.promptPart = Optional.of(PART);
    world.lastEventId = OptionalLong.of(7);
    Exchange exchange = world.submit("/stream/x", new ForwardWorld.Caller()).orElseThrow();
    exchange.onCallerDisconnected();
    answer(world, "e2", Optional.of(Set.of(PART)));

    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void aNewStreamAsksNobody() {
    ForwardWorld world = new ForwardWorld();
    world.promptPart = Optional.of(PART);
    world.submit("/stream/x", new ForwardWorld.Caller());

    assertTrue(world.promptQueries.isEmpty());
    assertFalse(world.sentCalls.isEmpty());
  }
}
