package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Resumed streams are sent to the engine that has their prompt cached. */
class PromptLocatorTest {
  private static final String PART = "part-1";

  private static ForwardWorld resumeStreams(int callers) {
    ForwardWorld world = new ForwardWorld();
    world.promptPart = Optional.of(PART);
    world.lastEventId = OptionalLong.of(7);
    for (int index = 0; index < callers; index++) {
      world.submit("/stream/x", new ForwardWorld.Caller());
    }
    return world;
  }

  private static void respond(
      ForwardWorld world, String target, Optional<Set<String>> cachedParts) {
    for (ForwardWorld.PromptQuery query : List.copyOf(world.promptQueries)) {
      if (query.target().equals(target)) {
        world.promptQueries.remove(query);
        query.response().accept(cachedParts);
      }
    }
  }

  @Test
  void resumedStreamGoesToEngineThatCachesPrompt() {
    ForwardWorld world = resumeStreams(1);
    assertEquals(3, world.promptQueries.size());
    respond(world, "e1", Optional.of(Set.of("another")));
    assertTrue(world.sentCalls.isEmpty());
    respond(world, "e3", Optional.of(Set.of(PART)));

    assertEquals("e3", world.lastCall().target());
  }

  @Test
  void resumedStreamIsSentOnceWhenNoEngineCachesPrompt() {
    ForwardWorld world = resumeStreams(1);
    respond(world, "e1", Optional.of(Set.of()));
    respond(world, "e2", Optional.empty());
    respond(world, "e3", Optional.of(Set.of("another")));

    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void concurrentlyResumedStreamsShareOneSurvey() {
    ForwardWorld world = resumeStreams(4);
    assertEquals(3, world.promptQueries.size());
    respond(world, "e2", Optional.of(Set.of(PART)));

    assertEquals(4, world.sentCalls.size());
    assertTrue(world.sentCalls.stream().allMatch(call -> call.target().equals("e2")));
  }

  /** Guards against streams that wait for their deadline because an engine's answer is lost. */
  @Test
  void resumedStreamIsSentWhenNoEngineResponds() {
    ForwardWorld world = resumeStreams(2);
    respond(world, "e1", Optional.of(Set.of("another")));

    world.advanceTime(200);

    assertEquals(2, world.sentCalls.size());
    respond(world, "e2", Optional.of(Set.of(PART)));
    assertEquals(2, world.sentCalls.size());
  }

  @Test
  void surveyExpires() {
    ForwardWorld world = resumeStreams(1);
    respond(world, "e2", Optional.of(Set.of(PART)));
    world.promptQueries.clear();
    world.advanceTime(1_000);
    world.submit("/stream/x", new ForwardWorld.Caller());

    assertEquals(3, world.promptQueries.size());
  }

  @Test
  void requestOfDisconnectedCallerIsNotSent() {
    ForwardWorld world = new ForwardWorld();
    world.promptPart = Optional.of(PART);
    world.lastEventId = OptionalLong.of(7);
    Exchange exchange = world.submit("/stream/x", new ForwardWorld.Caller()).orElseThrow();
    exchange.onCallerDisconnected();
    respond(world, "e2", Optional.of(Set.of(PART)));

    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void newStreamSendsNoPromptQueries() {
    ForwardWorld world = new ForwardWorld();
    world.promptPart = Optional.of(PART);
    world.submit("/stream/x", new ForwardWorld.Caller());

    assertTrue(world.promptQueries.isEmpty());
    assertFalse(world.sentCalls.isEmpty());
  }
}
