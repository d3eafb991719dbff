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

/** Which ends of attempts are the end of a generation. */
class AttemptEndsTest {
  private static final int MOST = 100;

  private final GenerationHost host = new GenerationHost("engine-1", "engine-2");

  /** Begins a generation of ten tokens and waits until its engine's silence is doubted. */
  private Action.StartAttempt doubted(Action.StartAttempt first) {
    host.tokens(first, 0, 10);
    host.awaitAttempts(2);
    Action.StartAttempt second = host.attempts().get(1);
    assertEquals(10, second.tokens().size());
    return second;
  }

  private void assertGoesOn(Action.StartAttempt attempt, int from) {
    assertFalse(host.isEnded());
    host.tokens(attempt, from, from + 2);
    host.finish(attempt, from + 2);
    assertTrue(host.isEnded());
    assertEquals(from + 2, host.of(Action.SendToken.class).size());
  }

  @Test
  void anEngineMayEndWithFewerTokensThanAllowed() {
    Action.StartAttempt only = host.ask(MOST);
    host.tokens(only, 0, 10);
    assertFalse(host.isEnded());
    host.finish(only, 10);
    assertTrue(host.isEnded());
    assertEquals(10, host.of(Action.EndStream.class).get(0).id().offset());
  }

  @Test
  void anEndOfAnotherLengthIsAnErrorOfTheEngine() {
    Action.StartAttempt first = host.ask(MOST);
    host.tokens(first, 0, 10);
    host.finish(first, 9);
    host.awaitAttempts(2);
    assertGoesOn(host.attempts().get(1), 10);
  }

  @Test
  void theLastTokenAllowedIsNoEnd() {
    Action.StartAttempt first = host.ask(10);
    host.tokens(first, 0, 10);
    host.handle(
        new Event.AttemptFailed(first.spec().request(), first.attempt(), TargetFailure.RESET));
    host.awaitAttempts(2);
    assertFalse(host.isEnded());
    host.finish(host.attempts().get(1), 10);
    assertTrue(host.isEnded());
  }

  @Test
  void aSecondAttemptThatEndsWithoutTheTokensItWasGivenHasFailed() {
    Action.StartAttempt first = host.ask(MOST);
    Action.StartAttempt second = doubted(first);
    host.finish(second, 0);
    assertGoesOn(first, 10);
  }

  @Test
  void aSecondAttemptMayFindThatTheAnswerWasWhole() {
    // The engine that was given all tokens says itself that none is to follow; the first may have
    // died between its last token and its final event.
    Action.StartAttempt second = doubted(host.ask(MOST));
    assertFalse(host.isEnded());
    host.finish(second, 10);
    assertTrue(host.isEnded());
    assertEquals(10, host.of(Action.EndStream.class).get(0).id().offset());
  }

  @Test
  void aSecondAttemptThatIsBrokenOffIsNoEnd() {
    Action.StartAttempt first = host.ask(MOST);
    Action.StartAttempt second = doubted(first);
    host.handle(
        new Event.AttemptFailed(second.spec().request(), second.attempt(), TargetFailure.RESET));
    assertGoesOn(first, 10);
  }

  @Test
  void theEndOfAnAttemptThatLostIsPassedOver() {
    Action.StartAttempt first = host.ask(MOST);
    Action.StartAttempt second = doubted(first);
    host.tokens(second, 10, 11);
    host.finish(first, 10);
    host.finish(first, 11);
    assertGoesOn(second, 11);
  }

  @Test
  void theEndOfAnAttemptThatWasMovedIsPassedOver() {
    Action.StartAttempt first = host.ask(MOST);
    host.tokens(first, 0, 10);
    boolean atFirstEngine = first.target().id().value().equals("engine-1");
    assertTrue(atFirstEngine, "the engine that leaves has the attempt");
    host.list(LifeState.LEAVING);
    host.awaitAttempts(2);
    host.finish(first, 10);
    assertGoesOn(host.attempts().get(1), 10);
  }

  @Test
  void theEndOfAnAttemptThatFailedIsPassedOver() {
    Action.StartAttempt first = host.ask(MOST);
    host.tokens(first, 0, 10);
    host.handle(
        new Event.AttemptFailed(first.spec().request(), first.attempt(), TargetFailure.TIMEOUT));
    host.finish(first, 10);
    host.awaitAttempts(2);
    assertGoesOn(host.attempts().get(1), 10);
  }

  @Test
  void anAnswerThatHasEndedHasNoSecondEnd() {
    Action.StartAttempt first = host.ask(MOST);
    Action.StartAttempt second = doubted(first);
    host.finish(first, 10);
    host.finish(second, 10);
    assertEquals(1, host.of(Action.EndStream.class).size());
    assertEquals(
        Optional.of(second.attempt()),
        host.of(Action.CancelAttempt.class).stream()
            .map(Action.CancelAttempt::attempt)
            .findFirst());
  }
}
