package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

/** When a stream is complete, and how it continues after a failure. */
class StreamEndTest {
  private static final long LAST_EVENT_OF_CALLER = 2;

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();
  private Exchange latest;

  private ForwardWorld.SentCall startStream(long lastEvent) {
    world.submit("/stream/x", caller);
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, true);
    for (long id = 1; id <= lastEvent; id++) {
      call.event(id);
    }
    return call;
  }

  private ForwardWorld.SentCall continueAfterReset() {
    world.fail(startStream(2), TargetFailure.RESET);
    return world.lastCall();
  }

  private static String eventsUpTo(long last) {
    StringBuilder events = new StringBuilder();
    for (long id = 1; id <= last; id++) {
      events.append(ForwardWorld.eventText(id));
    }
    return events.toString();
  }

  /**
   * Guards against ending a started stream as complete with the error response of the engine that
   * was to continue it.
   */
  @Test
  void goesOnAfterAnErrorOfTheEngineThatHadTheCopyOfADarkOnesRun() {
    world.submit("/stream/x", caller);
    world.lastCall().respond(500, "error");
    ForwardWorld.SentCall second = world.lastCall().accept().respondHead(200, true);
    for (long id = 1; id <= 110; id++) {
      second.event(id);
    }
    world.advanceTime(250);
    world.lastProbe().listener().onResult(ProbeResult.GONE);
    ForwardWorld.SentCall third = world.lastCall();
    assertTrue(third.dispatch.continueFrom().isPresent());

    third.respond(500, "error");

    assertFalse(caller.isFinal());
    assertEquals(eventsUpTo(110), caller.body.toString());
    assertEquals(OptionalLong.of(110), world.lastCall().dispatch.lastEventId());
    world
        .lastCall()
        .accept()
        .respondHead(200, true)
        .event(111)
        .listener
        .onEnd(ResponseEnd.LAST_CHUNK);
    assertEquals(eventsUpTo(111), caller.body.toString());
    assertTrue(caller.finished);
  }

  @Test
  void errorOfContinuingTargetDoesNotEndStartedStream() {
    for (int status : new int[] {500, 504, 400, 404, 200}) {
      ForwardWorld fresh = new ForwardWorld();
      Caller otherCaller = new Caller();
      fresh.submit("/stream/x", otherCaller);
      fresh.lastCall().accept().respondHead(200, true).event(1);
      fresh.fail(fresh.lastCall(), TargetFailure.RESET);

      fresh.lastCall().respond(status, "no event stream");

      assertFalse(otherCaller.isFinal(), "status " + status);
      assertEquals(3, fresh.sentCalls.size());
      assertEquals(OptionalLong.of(1), fresh.lastCall().dispatch.lastEventId());
      fresh
          .lastCall()
          .accept()
          .respondHead(200, true)
          .event(2)
          .listener
          .onEnd(ResponseEnd.LAST_CHUNK);
      assertEquals(eventsUpTo(2), otherCaller.body.toString());
      assertTrue(otherCaller.finished);
    }
  }

  @Test
  void doesNotForwardOtherContentInsideStartedStream() {
    ForwardWorld.SentCall second = continueAfterReset().accept().respondHead(200, false);

    second.listener.onBody(new byte[ForwardPolicy.STANDARD.maxBufferedBytes() + 1]);

    assertEquals(eventsUpTo(2), caller.body.toString());
    assertTrue(second.cancelled);
    assertFalse(caller.isFinal());
  }

  @Test
  void abortsStartedStreamWhenEveryTargetRespondsWithError() {
    startStream(2);
    world.fail(world.lastCall(), TargetFailure.RESET);

    while (!caller.isFinal()) {
      world.lastCall().respond(500, "error");
    }

    assertTrue(caller.aborted);
    assertEquals(eventsUpTo(2), caller.body.toString());
  }

  @Test
  void abortsStartedStreamDespiteEarlierHeldError() {
    world.submit("/stream/x", caller);
    world.lastCall().respond(500, "kept back");
    world.lastCall().accept().respondHead(200, true).event(1);
    world.fail(world.lastCall(), TargetFailure.RESET);

    while (!caller.isFinal()) {
      world.lastCall().respond(500, "error");
    }

    assertTrue(caller.aborted);
    assertEquals(eventsUpTo(1), caller.body.toString());
  }

  /** Closes the connection of a response that has neither a length nor a last chunk. */
  private static void close(ForwardWorld.SentCall call) {
    call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
  }

  /**
   * Guards against completing a partial stream when the target exits and its connection closes
   * normally.
   */
  @Test
  void continuesElsewhereWhenTargetOfClosedConnectionIsGone() {
    ForwardWorld.SentCall first = startStream(2);

    close(first);
    assertFalse(caller.isFinal());
    assertEquals(first.target(), world.lastProbe().target().id().value());
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertFalse(caller.isFinal());
    assertEquals(2, world.sentCalls.size());
    assertEquals(OptionalLong.of(2), world.lastCall().dispatch.lastEventId());
    world
        .lastCall()
        .accept()
        .respondHead(200, true)
        .event(3)
        .listener
        .onEnd(ResponseEnd.LAST_CHUNK);
    assertEquals(eventsUpTo(3), caller.body.toString());
    assertTrue(caller.finished);
  }

  @Test
  void completesStreamWhenTargetOfClosedConnectionIsAlive() {
    close(startStream(2));
    assertFalse(caller.isFinal());

    world.lastProbe().listener().onResult(ProbeResult.ALIVE);

    assertTrue(caller.finished);
    assertEquals(1, world.sentCalls.size());
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  /** A probe sent before the connection closed does not show the later state of the target. */
  @Test
  void ignoresResultOfProbeSentBeforeResponseEnd() {
    ForwardWorld.SentCall first = startStream(2);
    world.advanceTime(250);
    ForwardWorld.SentProbe early = world.lastProbe();

    close(first);
    early.listener().onResult(ProbeResult.ALIVE);

    assertFalse(caller.isFinal());
    assertEquals(2, world.probes.size());
    world.lastProbe().listener().onResult(ProbeResult.GONE);
    assertEquals(2, world.sentCalls.size());
  }

  @Test
  void abortsResponseThatCannotBeContinuedWhenTargetIsGone() {
    world.submit("/stream/x", caller);
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, false);
    call.listener.onBody(new byte[ForwardPolicy.STANDARD.maxBufferedBytes() + 1]);

    close(call);
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertTrue(caller.aborted);
    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void sendsOneFinalResponseWhileResponseEndIsUnconfirmed() {
    for (Runnable event : actionsDuringEndCheck()) {
      world.configurationHolder.confirm(1, world.context.now());
      Caller otherCaller = new Caller();
      latest = world.submit("/stream/x", otherCaller).orElseThrow();
      int before = world.sentCalls.size();
      ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, true).event(1);
      close(call);
      ForwardWorld.SentProbe probe = world.lastProbe();

      event.run();

      assertTrue(call.cancelled);
      String body = otherCaller.body.toString();
      boolean wasFinal = otherCaller.isFinal();
      probe.listener().onResult(ProbeResult.ALIVE);
      probe.listener().onResult(ProbeResult.GONE);
      assertEquals(body, otherCaller.body.toString());
      assertFalse(otherCaller.finished);
      assertEquals(wasFinal, otherCaller.isFinal());
      assertTrue(world.sentCalls.size() <= before + 1);
      latest.onCallerDisconnected();
    }
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  private List<Runnable> actionsDuringEndCheck() {
    return List.of(
        () -> world.advanceTime(ForwardWorld.TIMEOUT_MILLIS),
        () -> latest.onCallerDisconnected(),
        () -> world.forwarder.stopAll(),
        () -> latest.onTargetLost(TargetFailure.TIMEOUT));
  }

  @Test
  void logsUnconfirmedResponseEndAndItsVerdict() {
    close(startStream(2));
    world.advanceTime(3);
    world.lastProbe().listener().onResult(ProbeResult.ALIVE);

    List<String> logged = logged(EventCode.ANSWER_ENDED);
    assertEquals(2, logged.size());
    String inputs = "end=CONNECTION_CLOSED events=2 lastOfRun=2 ";
    assertTrue(logged.get(0).contains(inputs + "verdict=IN_DOUBT"), logged.get(0));
    assertTrue(logged.get(1).contains(inputs + "verdict=TARGET_ALIVE"), logged.get(1));
  }

  private List<String> logged(EventCode code) {
    return world.context.takeActions().stream()
        .filter(Action.LogEvent.class::isInstance)
        .map(Action.LogEvent.class::cast)
        .filter(note -> note.code() == code)
        .map(Action.LogEvent::detail)
        .toList();
  }

  /** How the execution started whose response end is checked. */
  private enum Start {
    /** First request of the caller. */
    FRESH,
    /** The caller resumed the stream after its last event. */
    RESUMED,
    /**
     * An earlier execution failed, and this one continues after its last event with a new prefill.
     */
    CONTINUED,
    /** As above, but from a copy of the memory of the earlier execution. */
    FROM_COPY
  }

  private static ForwardWorld.SentCall begin(Start start, ForwardWorld fresh, Caller otherCaller) {
    if (start == Start.RESUMED) {
      fresh.lastEventId = OptionalLong.of(LAST_EVENT_OF_CALLER);
    }
    fresh.submit("/stream/x", otherCaller);
    if (start == Start.CONTINUED || start == Start.FROM_COPY) {
      fresh.lastCall().accept().respondHead(200, true).event(1).event(LAST_EVENT_OF_CALLER);
      fresh.fail(fresh.lastCall(), TargetFailure.RESET);
    }
    if (start == Start.CONTINUED) {
      fresh.lastCall().rejectNotExecuted(503);
    }
    assertEquals(start == Start.FROM_COPY, fresh.lastCall().dispatch.continueFrom().isPresent());
    return fresh.lastCall().accept().respondHead(200, true);
  }

  /**
   * Without events nothing shows a gap: only a confirmed end completes the stream, and a closed
   * connection does not, even if the target is alive.
   */
  @Test
  void executionWithoutEventsIsCompleteOnlyIfConfirmedByTarget() {
    for (Start start : Start.values()) {
      for (ResponseEnd end : ResponseEnd.values()) {
        ForwardWorld fresh = new ForwardWorld();
        Caller otherCaller = new Caller();
        ForwardWorld.SentCall call = begin(start, fresh, otherCaller);

        call.listener.onEnd(end);
        fresh.probes.forEach(probe -> probe.listener().onResult(ProbeResult.ALIVE));

        assertEquals(end.isConfirmedByTarget(), otherCaller.finished, start + " " + end);
        assertEquals(!end.isConfirmedByTarget(), fresh.lastCall() != call, start + " " + end);
        assertFalse(otherCaller.aborted);
      }
    }
  }

  /** Comments only keep the connection open. */
  @Test
  void commentsDoNotCountAsEvents() {
    for (Start start : Start.values()) {
      ForwardWorld fresh = new ForwardWorld();
      Caller otherCaller = new Caller();
      ForwardWorld.SentCall call = begin(start, fresh, otherCaller);

      call.text(": still here\n\n").listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
      fresh.probes.forEach(probe -> probe.listener().onResult(ProbeResult.ALIVE));

      assertFalse(otherCaller.isFinal(), start.toString());
      assertTrue(fresh.lastCall() != call, start.toString());
    }
  }

  /** Repeating the last event of the caller shows that nothing is missing. */
  @Test
  void closedConnectionOfLiveTargetEndsStreamAtLastEventOfCaller() {
    for (Start start : Start.values()) {
      ForwardWorld fresh = new ForwardWorld();
      Caller otherCaller = new Caller();
      ForwardWorld.SentCall call = begin(start, fresh, otherCaller);

      call.event(start == Start.FRESH ? 1 : LAST_EVENT_OF_CALLER);
      call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
      assertFalse(otherCaller.isFinal());
      fresh.lastProbe().listener().onResult(ProbeResult.ALIVE);

      assertTrue(otherCaller.finished, start.toString());
    }
  }

  /**
   * An execution that ends before the last event of the caller does not produce the same stream.
   */
  @Test
  void executionEndingBeforeLastEventOfCallerDoesNotEndStream() {
    for (Start start : List.of(Start.RESUMED, Start.CONTINUED, Start.FROM_COPY)) {
      for (ResponseEnd end : ResponseEnd.values()) {
        ForwardWorld fresh = new ForwardWorld();
        Caller otherCaller = new Caller();
        ForwardWorld.SentCall call = begin(start, fresh, otherCaller);

        call.event(1).listener.onEnd(end);
        fresh.probes.forEach(probe -> probe.listener().onResult(ProbeResult.ALIVE));

        assertFalse(otherCaller.isFinal(), start + " " + end);
        assertTrue(fresh.lastCall() != call, start + " " + end);
      }
    }
  }

  /** Guards against avoiding sound targets that have nothing to add to a stream. */
  @Test
  void targetWithNothingToAddIsNotTakenForFailing() {
    ForwardWorld.SentCall second = continueAfterReset().accept().respondHead(200, true);

    close(second);

    TargetId id = second.dispatch.target().id();
    assertFalse(world.targets.find(id).orElseThrow().isFailing(world.context.now()));
    assertEquals(3, world.sentCalls.size());
  }
}
