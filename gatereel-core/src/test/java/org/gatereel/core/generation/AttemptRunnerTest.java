package org.gatereel.core.generation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.LifeState;
import org.junit.jupiter.api.Test;

/** Checks which ends of attempts end the generation. */
class AttemptRunnerTest {
  private static final int MAX_TOKENS = 100;

  private final GenerationHost host = new GenerationHost("engine-1", "engine-2");

  /** Delivers ten tokens of an attempt and waits until its silence starts a second attempt. */
  private Action.StartAttempt startSecondAttempt(Action.StartAttempt first) {
    host.tokens(first, 0, 10);
    host.awaitAttempts(2);
    Action.StartAttempt second = host.attempts().get(1);
    assertEquals(10, second.tokens().size());
    return second;
  }

  private void assertContinues(Action.StartAttempt attempt, int from) {
    assertFalse(host.isEnded());
    host.tokens(attempt, from, from + 2);
    host.finish(attempt, from + 2);
    assertTrue(host.isEnded());
    assertEquals(from + 2, host.actionsOf(Action.SendToken.class).size());
  }

  @Test
  void endsWithFewerTokensThanTheMaximum() {
    Action.StartAttempt only = host.request(MAX_TOKENS);
    host.tokens(only, 0, 10);
    assertFalse(host.isEnded());
    host.finish(only, 10);
    assertTrue(host.isEnded());
    assertEquals(10, host.actionsOf(Action.EndStream.class).get(0).id().offset());
  }

  @Test
  void failsAnAttemptThatEndsAtAnotherLength() {
    Action.StartAttempt first = host.request(MAX_TOKENS);
    host.tokens(first, 0, 10);
    host.finish(first, 9);
    host.awaitAttempts(2);
    assertContinues(host.attempts().get(1), 10);
  }

  @Test
  void lastAllowedTokenDoesNotEndTheGeneration() {
    Action.StartAttempt first = host.request(10);
    host.tokens(first, 0, 10);
    host.handle(
        new Event.AttemptFailed(first.spec().request(), first.attempt(), TargetFailure.RESET));
    host.awaitAttempts(2);
    assertFalse(host.isEnded());
    host.finish(host.attempts().get(1), 10);
    assertTrue(host.isEnded());
  }

  @Test
  void failsASecondAttemptThatEndsBeforeItsFirstOffset() {
    Action.StartAttempt first = host.request(MAX_TOKENS);
    Action.StartAttempt second = startSecondAttempt(first);
    host.finish(second, 0);
    assertContinues(first, 10);
  }

  @Test
  void secondAttemptMayEndWithoutFurtherTokens() {
    // The first engine may have failed between its last token and its final event.
    Action.StartAttempt second = startSecondAttempt(host.request(MAX_TOKENS));
    assertFalse(host.isEnded());
    host.finish(second, 10);
    assertTrue(host.isEnded());
    assertEquals(10, host.actionsOf(Action.EndStream.class).get(0).id().offset());
  }

  @Test
  void brokenSecondAttemptDoesNotEndTheGeneration() {
    Action.StartAttempt first = host.request(MAX_TOKENS);
    Action.StartAttempt second = startSecondAttempt(first);
    host.handle(
        new Event.AttemptFailed(second.spec().request(), second.attempt(), TargetFailure.RESET));
    assertContinues(first, 10);
  }

  @Test
  void ignoresTheEndOfACancelledAttempt() {
    Action.StartAttempt first = host.request(MAX_TOKENS);
    Action.StartAttempt second = startSecondAttempt(first);
    host.tokens(second, 10, 11);
    host.finish(first, 10);
    host.finish(first, 11);
    assertContinues(second, 11);
  }

  @Test
  void ignoresTheEndOfAnAttemptAtADrainingTarget() {
    Action.StartAttempt first = host.request(MAX_TOKENS);
    host.tokens(first, 0, 10);
    boolean atFirstEngine = first.target().id().value().equals("engine-1");
    assertTrue(atFirstEngine, "the first attempt is at the draining engine");
    host.publishTargets(LifeState.LEAVING);
    host.awaitAttempts(2);
    host.finish(first, 10);
    assertContinues(host.attempts().get(1), 10);
  }

  @Test
  void ignoresTheEndOfAFailedAttempt() {
    Action.StartAttempt first = host.request(MAX_TOKENS);
    host.tokens(first, 0, 10);
    host.handle(
        new Event.AttemptFailed(first.spec().request(), first.attempt(), TargetFailure.TIMEOUT));
    host.finish(first, 10);
    host.awaitAttempts(2);
    assertContinues(host.attempts().get(1), 10);
  }

  @Test
  void endsTheStreamOnlyOnce() {
    Action.StartAttempt first = host.request(MAX_TOKENS);
    Action.StartAttempt second = startSecondAttempt(first);
    host.finish(first, 10);
    host.finish(second, 10);
    assertEquals(1, host.actionsOf(Action.EndStream.class).size());
    assertEquals(
        Optional.of(second.attempt()),
        host.actionsOf(Action.CancelAttempt.class).stream()
            .map(Action.CancelAttempt::attempt)
            .findFirst());
  }
}
