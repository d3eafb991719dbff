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
import org.junit.jupiter.api.Test;

/** What is taken for the end of a stream, and what may follow its break. */
class StreamEndTest {
  private static final long HAD_BY_CALLER = 2;

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();
  private Exchange latest;

  private ForwardWorld.SentCall running(long lastEvent) {
    world.submit("/stream/x", caller);
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, true);
    for (long id = 1; id <= lastEvent; id++) {
      call.event(id);
    }
    return call;
  }

  private ForwardWorld.SentCall resumedAfterABreak() {
    world.fail(running(2), TargetFailure.RESET);
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
   * An engine went dark after 110 events of a stream. The engine that had a copy of the run's
   * memory was asked to go on and answered with an error at once, as it had before the stream
   * began. The host took that answer for the final one: it added its body and ended the caller's
   * answer, whose head was the first engine's 200, as complete. The host's lines of that request
   * settled it:
   *
   * <pre>
   * ATTEMPT_FAILED target=B failure=TIMEOUT mayHaveRun=true tries=2 lastEvent=110 millis=3913
   * REQUEST_FORWARDED try=3 target=A fromCopy=true tries=3 lastEvent=110 millis=3913
   * REQUEST_ANSWERED status=500 tries=3 lastEvent=110 millis=3923
   * </pre>
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
    world.lastCall().accept().respondHead(200, true).event(111).listener.onEnd(ResponseEnd.LAST_CHUNK);
    assertEquals(eventsUpTo(111), caller.body.toString());
    assertTrue(caller.finished);
  }

  @Test
  void endsABegunStreamWithNoErrorOfTheTargetThatWasToGoOn() {
    for (int status : new int[] {500, 504, 400, 404, 200}) {
      ForwardWorld fresh = new ForwardWorld();
      Caller asking = new Caller();
      fresh.submit("/stream/x", asking);
      fresh.lastCall().accept().respondHead(200, true).event(1);
      fresh.fail(fresh.lastCall(), TargetFailure.RESET);

      fresh.lastCall().respond(status, "no event stream");

      assertFalse(asking.isFinal(), "status " + status);
      assertEquals(3, fresh.sentCalls.size());
      assertEquals(OptionalLong.of(1), fresh.lastCall().dispatch.lastEventId());
      fresh.lastCall().accept().respondHead(200, true).event(2).listener.onEnd(ResponseEnd.LAST_CHUNK);
      assertEquals(eventsUpTo(2), asking.body.toString());
      assertTrue(asking.finished);
    }
  }

  @Test
  void passesNoLongBodyOfAnotherKindOnInsideABegunStream() {
    ForwardWorld.SentCall second = resumedAfterABreak().accept().respondHead(200, false);

    second.listener.onBody(new byte[ForwardPolicy.STANDARD.maxBufferedBytes() + 1]);

    assertEquals(eventsUpTo(2), caller.body.toString());
    assertTrue(second.cancelled);
    assertFalse(caller.isFinal());
  }

  @Test
  void breaksABegunStreamOffWhenEachTargetAnswersWithAnError() {
    running(2);
    world.fail(world.lastCall(), TargetFailure.RESET);

    while (!caller.isFinal()) {
      world.lastCall().respond(500, "error");
    }

    assertTrue(caller.aborted);
    assertEquals(eventsUpTo(2), caller.body.toString());
  }

  @Test
  void breaksABegunStreamOffWhereAnEarlierErrorWasKeptBack() {
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

  /** Has a target end its answer by closing the connection, with neither length nor last chunk. */
  private static void close(ForwardWorld.SentCall call) {
    call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
  }

  /**
   * An engine's process ended between two events. Its connections were closed in order, as they are
   * when a stream without chunks is whole, and the caller got the part it had as a complete answer.
   */
  @Test
  void goesOnElsewhereWhenTheTargetOfAClosedConnectionIsGone() {
    ForwardWorld.SentCall first = running(2);

    close(first);
    assertFalse(caller.isFinal());
    assertEquals(first.target(), world.lastProbe().target().id().value());
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertFalse(caller.isFinal());
    assertEquals(2, world.sentCalls.size());
    assertEquals(OptionalLong.of(2), world.lastCall().dispatch.lastEventId());
    world.lastCall().accept().respondHead(200, true).event(3).listener.onEnd(ResponseEnd.LAST_CHUNK);
    assertEquals(eventsUpTo(3), caller.body.toString());
    assertTrue(caller.finished);
  }

  @Test
  void takesAStreamForWholeWhoseTargetAnswersAfterItClosedTheConnection() {
    close(running(2));
    assertFalse(caller.isFinal());

    world.lastProbe().listener().onResult(ProbeResult.ALIVE);

    assertTrue(caller.finished);
    assertEquals(1, world.sentCalls.size());
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  /** An answer that was on its way before the connection was closed tells of the time before. */
  @Test
  void believesNoProbeThatWasSentBeforeTheEnd() {
    ForwardWorld.SentCall first = running(2);
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
  void breaksAStreamOffThatNobodyCanGoOnWithWhenTheTargetOfAClosedConnectionIsGone() {
    world.submit("/stream/x", caller);
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, false);
    call.listener.onBody(new byte[ForwardPolicy.STANDARD.maxBufferedBytes() + 1]);

    close(call);
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertTrue(caller.aborted);
    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void givesOneFinalAnswerWhateverComesWhileAnEndIsInDoubt() {
    for (Runnable event : whatMayComeWhileAnEndIsInDoubt()) {
      world.configurationHolder.confirm(1, world.context.now());
      Caller asking = new Caller();
      latest = world.submit("/stream/x", asking).orElseThrow();
      int before = world.sentCalls.size();
      ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, true).event(1);
      close(call);
      ForwardWorld.SentProbe probe = world.lastProbe();

      event.run();

      assertTrue(call.cancelled);
      String body = asking.body.toString();
      boolean wasOver = asking.isFinal();
      probe.listener().onResult(ProbeResult.ALIVE);
      probe.listener().onResult(ProbeResult.GONE);
      assertEquals(body, asking.body.toString());
      assertFalse(asking.finished);
      assertEquals(wasOver, asking.isFinal());
      assertTrue(world.sentCalls.size() <= before + 1);
      latest.onCallerDisconnected();
    }
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  private List<Runnable> whatMayComeWhileAnEndIsInDoubt() {
    return List.of(
        () -> world.advanceTime(ForwardWorld.TIMEOUT_MILLIS),
        () -> latest.onCallerDisconnected(),
        () -> world.forwarder.stopAll(),
        () -> latest.onTargetLost(TargetFailure.TIMEOUT));
  }

  @Test
  void logsAnEndInDoubtAndWhatBecameOfIt() {
    close(running(2));
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
        .filter(Action.Note.class::isInstance)
        .map(Action.Note.class::cast)
        .filter(note -> note.code() == code)
        .map(Action.Note::detail)
        .toList();
  }

  /** How a run began whose end is judged. */
  private enum Start {
    /** The caller asks for the first time. */
    FRESH,
    /** The caller came back with the last event it had. */
    RESUMED,
    /** An earlier run broke, and this one goes on after its last event by reading all anew. */
    CONTINUED,
    /** The same, from a copy of the earlier run's memory. */
    FROM_COPY
  }

  private static ForwardWorld.SentCall begin(Start start, ForwardWorld fresh, Caller asking) {
    if (start == Start.RESUMED) {
      fresh.lastEventId = OptionalLong.of(HAD_BY_CALLER);
    }
    fresh.submit("/stream/x", asking);
    if (start == Start.CONTINUED || start == Start.FROM_COPY) {
      fresh.lastCall().accept().respondHead(200, true).event(1).event(HAD_BY_CALLER);
      fresh.fail(fresh.lastCall(), TargetFailure.RESET);
    }
    if (start == Start.CONTINUED) {
      fresh.lastCall().rejectNotExecuted(503);
    }
    assertEquals(start == Start.FROM_COPY, fresh.lastCall().dispatch.continueFrom().isPresent());
    return fresh.lastCall().accept().respondHead(200, true);
  }

  /**
   * A run that ends without one event says nothing that could be checked. That nothing is missing
   * is then only as good as the target's own word; a connection that was closed is none, even if
   * the target lives.
   */
  @Test
  void aRunWithoutOneEventIsAtItsEndOnlyByTheTargetsWord() {
    for (Start start : Start.values()) {
      for (ResponseEnd end : ResponseEnd.values()) {
        ForwardWorld fresh = new ForwardWorld();
        Caller asking = new Caller();
        ForwardWorld.SentCall call = begin(start, fresh, asking);

        call.listener.onEnd(end);
        fresh.probes.forEach(probe -> probe.listener().onResult(ProbeResult.ALIVE));

        assertEquals(end.isConfirmedByTarget(), asking.finished, start + " " + end);
        assertEquals(!end.isConfirmedByTarget(), fresh.lastCall() != call, start + " " + end);
        assertFalse(asking.aborted);
      }
    }
  }

  /** Comments keep a connection open; they are no events of the run. */
  @Test
  void aRunWithCommentsAloneIsOneWithoutEvents() {
    for (Start start : Start.values()) {
      ForwardWorld fresh = new ForwardWorld();
      Caller asking = new Caller();
      ForwardWorld.SentCall call = begin(start, fresh, asking);

      call.text(": still here\n\n").listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
      fresh.probes.forEach(probe -> probe.listener().onResult(ProbeResult.ALIVE));

      assertFalse(asking.isFinal(), start.toString());
      assertTrue(fresh.lastCall() != call, start.toString());
    }
  }

  /** The caller has the events up to the last one; one of them again shows where the run stands. */
  @Test
  void aRunThatStandsWhereTheCallerDoesMayEndByAClosedConnectionOfALiveTarget() {
    for (Start start : Start.values()) {
      ForwardWorld fresh = new ForwardWorld();
      Caller asking = new Caller();
      ForwardWorld.SentCall call = begin(start, fresh, asking);

      call.event(start == Start.FRESH ? 1 : HAD_BY_CALLER);
      call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
      assertFalse(asking.isFinal());
      fresh.lastProbe().listener().onResult(ProbeResult.ALIVE);

      assertTrue(asking.finished, start.toString());
    }
  }

  /** A run that ends before the last event that the caller has is a run of something else. */
  @Test
  void aRunThatEndsBeforeWhatTheCallerHasEndsNothing() {
    for (Start start : List.of(Start.RESUMED, Start.CONTINUED, Start.FROM_COPY)) {
      for (ResponseEnd end : ResponseEnd.values()) {
        ForwardWorld fresh = new ForwardWorld();
        Caller asking = new Caller();
        ForwardWorld.SentCall call = begin(start, fresh, asking);

        call.event(1).listener.onEnd(end);
        fresh.probes.forEach(probe -> probe.listener().onResult(ProbeResult.ALIVE));

        assertFalse(asking.isFinal(), start + " " + end);
        assertTrue(fresh.lastCall() != call, start + " " + end);
      }
    }
  }
}
