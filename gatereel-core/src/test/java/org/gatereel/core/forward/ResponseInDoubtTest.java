package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.gatereel.core.forward.ForwardWorld.SentProbe;
import org.junit.jupiter.api.Test;

/** A response that ends with its connection while its target is silent, so that it may be whole. */
class ResponseInDoubtTest {
  private static final long PROBE_ROUND_MILLIS = 500;
  private static final long SILENCE_MILLIS = 2_000;
  private static final int MAX_ATTEMPTS = 5;
  private static final int MAX_PROBE_ROUNDS = 10;

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();

  private static void close(SentCall call) {
    call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
  }

  private SentCall closeStreamAfter(long lastEvent) {
    world.submit("/stream/x", caller);
    SentCall call = world.lastCall().accept().respondHead(200, true);
    for (long id = 1; id <= lastEvent; id++) {
      call.event(id);
    }
    close(call);
    return call;
  }

  private void answerProbesOf(String target, ProbeResult result) {
    List<SentProbe> pending = new ArrayList<>(world.probes);
    world.probes.clear();
    for (SentProbe probe : pending) {
      boolean isOfTarget = probe.target().id().value().equals(target);
      probe.listener().onResult(isOfTarget ? result : ProbeResult.ALIVE);
    }
  }

  private void staySilent(String target, long millis) {
    for (long passed = 0; passed < millis; passed += 50) {
      world.advanceTime(50);
      answerProbesOf(target, ProbeResult.UNKNOWN);
    }
  }

  private void awaitProbeOf(String target) {
    for (int round = 0; round < MAX_PROBE_ROUNDS && !isProbed(target); round++) {
      world.advanceTime(PROBE_ROUND_MILLIS);
    }
  }

  private void respondAgain(String target, ProbeResult result) {
    awaitProbeOf(target);
    answerProbesOf(target, result);
  }

  private boolean isProbed(String target) {
    return world.probes.stream().anyMatch(probe -> probe.target().id().value().equals(target));
  }

  private SentCall moveAfter(long lastEvent, SentCall first) {
    staySilent(first.target(), PROBE_ROUND_MILLIS);
    assertEquals(2, world.sentCalls.size());
    assertEquals(OptionalLong.of(lastEvent), world.lastCall().dispatch.lastEventId());
    return world.lastCall().accept().respondHead(200, true);
  }

  private static String eventsUpTo(long last) {
    StringBuilder events = new StringBuilder();
    for (long id = 1; id <= last; id++) {
      events.append(ForwardWorld.eventText(id));
    }
    return events.toString();
  }

  /** Guards against cutting a whole stream because other targets have no event to add. */
  @Test
  void wholeStreamIsNotCutWhenOtherTargetsHaveNothingToAdd() {
    SentCall first = closeStreamAfter(2);
    close(moveAfter(2, first));

    staySilent(first.target(), SILENCE_MILLIS);
    assertFalse(caller.isFinal());
    assertEquals(2, world.sentCalls.size());
    respondAgain(first.target(), ProbeResult.ALIVE);

    assertTrue(caller.finished);
    assertEquals(eventsUpTo(2), caller.body.toString());
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  /** Guards against ignoring the confirmation of a response that has been replaced. */
  @Test
  void confirmedResponseIsDeliveredWhileAnotherAttemptIsOpen() {
    SentCall first = closeStreamAfter(2);
    SentCall second = moveAfter(2, first);

    respondAgain(first.target(), ProbeResult.ALIVE);

    assertTrue(caller.finished);
    assertTrue(second.cancelled);
    assertEquals(eventsUpTo(2), caller.body.toString());
    assertEquals(
        0, world.targets.find(second.dispatch.target().id()).orElseThrow().localOpenRequests());
  }

  /** Guards against completing a truncated stream, whose target is alive, before its last event. */
  @Test
  void truncatedStreamDoesNotEndAfterAnotherTargetHasContinuedIt() {
    SentCall first = closeStreamAfter(2);
    SentCall second = moveAfter(2, first);
    awaitProbeOf(first.target());
    second.event(3);

    answerProbesOf(first.target(), ProbeResult.ALIVE);

    assertFalse(caller.isFinal());
    second.event(4).listener.onEnd(ResponseEnd.LAST_CHUNK);
    assertTrue(caller.finished);
    assertEquals(eventsUpTo(4), caller.body.toString());
  }

  /** Guards against waiting for a target that has ended. */
  @Test
  void streamIsContinuedElsewhereWhenItsSilentTargetTurnsOutToBeGone() {
    SentCall first = closeStreamAfter(2);
    close(moveAfter(2, first));
    staySilent(first.target(), SILENCE_MILLIS);
    assertEquals(2, world.sentCalls.size());

    respondAgain(first.target(), ProbeResult.GONE);

    assertEquals(3, world.sentCalls.size());
    world.lastCall().accept().respondHead(200, true).event(3);
    world.lastCall().listener.onEnd(ResponseEnd.LAST_CHUNK);
    assertTrue(caller.finished);
    assertEquals(eventsUpTo(3), caller.body.toString());
  }

  /** Guards against completing a stream that no target has confirmed. */
  @Test
  void unconfirmedStreamIsAbortedWhenItsTargetIsGoneAndNoOtherEndsIt() {
    SentCall first = closeStreamAfter(2);
    close(moveAfter(2, first));
    respondAgain(first.target(), ProbeResult.GONE);

    for (int attempt = 0; attempt < MAX_ATTEMPTS && !caller.isFinal(); attempt++) {
      close(world.lastCall().accept().respondHead(200, true));
      answerProbesOf(first.target(), ProbeResult.GONE);
    }

    assertTrue(caller.aborted);
  }

  @Test
  void unconfirmedStreamOfTargetThatStaysSilentIsAbortedAtItsDeadline() {
    SentCall first = closeStreamAfter(2);
    close(moveAfter(2, first));

    staySilent(first.target(), ForwardWorld.TIMEOUT_MILLIS - 3 * PROBE_ROUND_MILLIS);
    assertFalse(caller.isFinal());
    staySilent(first.target(), 3 * PROBE_ROUND_MILLIS);

    assertTrue(caller.aborted);
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  /** Guards against two searches at once when the doubt ends during a search. */
  @Test
  void streamWhoseSearchIsInProgressIsSentOnceAfterItsTargetIsGone() {
    SentCall first = closeStreamAfter(2);
    SentCall second = moveAfter(2, first);

    respondAgain(first.target(), ProbeResult.GONE);
    assertEquals(2, world.sentCalls.size());
    world.fail(second, TargetFailure.RESET);

    assertEquals(3, world.sentCalls.size());
  }

  /** Guards against rejecting a call whose response may be whole when no other target takes it. */
  @Test
  void callIsAnsweredWhenItsTargetRespondsAgainAfterAllOthersRefused() {
    world.submit("/safe/x", caller);
    SentCall first = world.lastCall().accept().respondHead(200, false);
    first.text("result");
    close(first);
    staySilent(first.target(), PROBE_ROUND_MILLIS);
    assertEquals(2, world.sentCalls.size());
    for (int refusal = 0; refusal < 2; refusal++) {
      world.lastCall().rejectNotExecuted(503);
    }
    staySilent(first.target(), PROBE_ROUND_MILLIS);
    assertFalse(caller.isFinal());

    respondAgain(first.target(), ProbeResult.ALIVE);

    assertTrue(caller.finished);
    assertEquals("result", caller.body.toString());
  }

  /** Guards against appending a late response to the body of another one. */
  @Test
  void lateResponseIsNotMixedWithLongResponseOfAnotherTarget() {
    world.submit("/safe/x", caller);
    SentCall first = world.lastCall().accept().respondHead(200, false);
    first.text("late");
    close(first);
    staySilent(first.target(), PROBE_ROUND_MILLIS);
    String body = "x".repeat(ForwardPolicy.STANDARD.maxBufferedBytes() + 1);
    SentCall second = world.lastCall().accept().respondHead(200, false).text(body);

    respondAgain(first.target(), ProbeResult.ALIVE);

    assertFalse(caller.isFinal());
    second.listener.onEnd(ResponseEnd.LENGTH_REACHED);
    assertTrue(caller.finished);
    assertEquals(body, caller.body.toString());
  }

  /** Guards against aborting a long response whose busy target answers without its incarnation. */
  @Test
  void longResponseOfBusyTargetIsCompletedOnceItNamesItsIncarnation() {
    world.submit("/safe/x", caller);
    String body = "x".repeat(ForwardPolicy.STANDARD.maxBufferedBytes() + 1);
    SentCall call = world.lastCall().accept().respondHead(200, false).text(body);
    close(call);
    for (int probe = 0; probe < 4; probe++) {
      respondAgain(call.target(), ProbeResult.ANSWERED);
      assertFalse(caller.isFinal());
    }

    respondAgain(call.target(), ProbeResult.ALIVE);

    assertTrue(caller.finished);
    assertEquals(body, caller.body.toString());
  }
}
