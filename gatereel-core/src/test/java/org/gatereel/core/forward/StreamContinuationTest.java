package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.stream.EventStreamReader;
import org.gatereel.core.stream.StreamEvent;
import org.junit.jupiter.api.Test;

/** How executions at several targets are joined to one stream. */
class StreamContinuationTest {
  private static final String WITHOUT_ID = "data: x\n\n";
  private static final String COMMENT = ": still here\n\n";

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();

  private ForwardWorld.SentCall startStream(long lastEvent) {
    world.submit("/stream/x", caller);
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, true);
    for (long id = 1; id <= lastEvent; id++) {
      call.event(id);
    }
    return call;
  }

  private ForwardWorld.SentCall continueAfter(long lastEvent) {
    world.fail(startStream(lastEvent), TargetFailure.RESET);
    return world.lastCall().accept().respondHead(200, true);
  }

  private static String eventsUpTo(long last) {
    StringBuilder events = new StringBuilder();
    for (long id = 1; id <= last; id++) {
      events.append(ForwardWorld.eventText(id));
    }
    return events.toString();
  }

  /**
   * Guards against repeating or losing an event without an id: a continuation cannot determine its
   * position.
   */
  @Test
  void abortsStreamWithEventWithoutId() {
    ForwardWorld.SentCall call = startStream(2).text(WITHOUT_ID);

    world.fail(call, TargetFailure.RESET);

    assertTrue(caller.aborted);
    assertEquals(1, world.sentCalls.size());
    assertEquals(eventsUpTo(2) + WITHOUT_ID, caller.body.toString());
  }

  @Test
  void abortsStreamIfEventsWithIdsFollowOneWithoutId() {
    ForwardWorld.SentCall call = startStream(1).text(WITHOUT_ID).event(2);

    world.fail(call, TargetFailure.RESET);

    assertTrue(caller.aborted);
    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void treatsNonNumericIdAsMissing() {
    ForwardWorld.SentCall call = startStream(1).text("id: b7\n" + WITHOUT_ID);

    world.fail(call, TargetFailure.RESET);

    assertTrue(caller.aborted);
  }

  @Test
  void completesStreamWithoutIdsWhenTargetConfirmsEnd() {
    startStream(0).text(WITHOUT_ID).text(WITHOUT_ID).listener.onEnd(ResponseEnd.LAST_CHUNK);

    assertTrue(caller.finished);
    assertEquals(WITHOUT_ID + WITHOUT_ID, caller.body.toString());
  }

  @Test
  void continuesStreamWithComments() {
    world.fail(startStream(1).text(COMMENT), TargetFailure.RESET);

    world
        .lastCall()
        .accept()
        .respondHead(200, true)
        .text(COMMENT)
        .event(2)
        .listener
        .onEnd(ResponseEnd.LAST_CHUNK);

    assertTrue(caller.finished);
    assertEquals(
        eventsUpTo(1) + COMMENT + COMMENT + ForwardWorld.eventText(2), caller.body.toString());
  }

  @Test
  void restartsStreamThatForwardedOnlyComments() {
    world.fail(startStream(0).text(COMMENT), TargetFailure.RESET);

    assertEquals(OptionalLong.empty(), world.lastCall().dispatch.lastEventId());
    world
        .lastCall()
        .accept()
        .respondHead(200, true)
        .event(1)
        .listener
        .onEnd(ResponseEnd.LAST_CHUNK);
    assertTrue(caller.finished);
    assertEquals(COMMENT + eventsUpTo(1), caller.body.toString());
  }

  /** The caller may already have the event without an id. */
  @Test
  void cancelsContinuationThatStartsWithEventWithoutId() {
    ForwardWorld.SentCall second = continueAfter(2);

    second.text(WITHOUT_ID);

    assertTrue(second.cancelled);
    assertFalse(caller.isFinal());
    assertEquals(eventsUpTo(2), caller.body.toString());
  }

  @Test
  void forwardsEventWithoutIdAfterContinuationReachesLastEvent() {
    continueAfter(2).event(2).text(WITHOUT_ID);

    assertFalse(caller.isFinal());
    assertEquals(eventsUpTo(2) + WITHOUT_ID, caller.body.toString());
  }

  /** Guards against treating new events as known when the ids of an execution decrease. */
  @Test
  void cancelsAttemptWithDecreasingIds() {
    for (long repeatedId : new long[] {1, 2, 3}) {
      ForwardWorld fresh = new ForwardWorld();
      Caller otherCaller = new Caller();
      fresh.submit("/stream/x", otherCaller);
      ForwardWorld.SentCall call = fresh.lastCall().accept().respondHead(200, true);
      call.event(1).event(2).event(3);

      call.event(repeatedId);

      assertTrue(call.cancelled, "repeated id " + repeatedId);
      assertEquals(2, fresh.sentCalls.size());
      assertEquals(OptionalLong.of(3), fresh.lastCall().dispatch.lastEventId());
      assertEquals(eventsUpTo(3), otherCaller.body.toString());
    }
  }

  @Test
  void cancelsContinuationWithDecreasingIds() {
    ForwardWorld.SentCall second = continueAfter(3).event(1).event(2);

    second.event(1);

    assertTrue(second.cancelled);
    assertFalse(caller.isFinal());
  }

  @Test
  void cancelsContinuationThatSkipsKnownEvents() {
    ForwardWorld.SentCall second = continueAfter(3).event(1);

    second.event(3);

    assertTrue(second.cancelled);
  }

  @Test
  void skipsRepeatedEventsOfContinuation() {
    continueAfter(3).event(1).event(2).event(3).event(4);

    assertEquals(eventsUpTo(4), caller.body.toString());
  }

  /** Targets choose their first id; rejecting some would fail complete streams. */
  @Test
  void acceptsAnyFirstIdInFirstExecution() {
    startStream(0).text(COMMENT).event(7).event(8).listener.onEnd(ResponseEnd.LAST_CHUNK);

    assertEquals(
        COMMENT + ForwardWorld.eventText(7) + ForwardWorld.eventText(8), caller.body.toString());
    assertTrue(caller.finished);
  }

  /** The host must agree with event stream clients on which blocks are events. */
  @Test
  void parsesBlocksLikeEventStreamClients() {
    assertTrue(blockOf(COMMENT).isComment());
    assertTrue(blockOf("retry: 500\n\n").isComment());
    assertTrue(blockOf("event: note\n\n").isComment());
    assertFalse(blockOf("data\n\n").isComment());
    assertFalse(blockOf("data:\r\n\r\n").isComment());
    assertFalse(blockOf("id: 4\n\n").isComment());
    assertEquals(OptionalLong.of(4), blockOf("id: 3\ndata: x\nid:4\n\n").id());
    assertEquals(OptionalLong.empty(), blockOf("data: id: 3\n\n").id());
  }

  private static StreamEvent blockOf(String text) {
    return new EventStreamReader().read(text.getBytes(StandardCharsets.UTF_8)).get(0);
  }
}
