package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetState;
import org.junit.jupiter.api.Test;

class StreamForwardingTest {
  private final ForwardWorld world = new ForwardWorld();
  private final ForwardWorld.Caller caller = new ForwardWorld.Caller();

  private ForwardWorld.SentCall startStream(long lastEvent) {
    world.submit("/stream/x", caller);
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, true);
    for (long id = 1; id <= lastEvent; id++) {
      call.event(id);
    }
    return call;
  }

  @Test
  void forwardsEventsAndEndsWithTarget() {
    startStream(2).listener.onEnd(ResponseEnd.LAST_CHUNK);

    assertEquals(ForwardWorld.eventText(1) + ForwardWorld.eventText(2), caller.body.toString());
    assertTrue(caller.finished);
  }

  @Test
  void continuesAfterLastEventFromCopyWhenTargetFails() {
    ForwardWorld.SentCall first = startStream(2);
    Optional<?> copyTo = first.dispatch.copyTo();

    world.fail(first, TargetFailure.RESET);

    ForwardWorld.SentCall second = world.lastCall();
    assertTrue(first.cancelled);
    assertEquals(copyTo, Optional.of(second.dispatch.target().address()));
    assertEquals(Optional.of("r1"), second.dispatch.continueFrom());
    assertEquals(OptionalLong.of(2), second.dispatch.lastEventId());
    second.accept().respondHead(200, true).event(3).listener.onEnd(ResponseEnd.LAST_CHUNK);
    assertTrue(caller.finished);
    assertTrue(caller.body.toString().endsWith(ForwardWorld.eventText(3)));
  }

  @Test
  void doesNotRepeatForwardedEvents() {
    world.fail(startStream(2), TargetFailure.RESET);

    world.lastCall().accept().respondHead(200, true).event(2).event(3);

    assertEquals(
        ForwardWorld.eventText(1) + ForwardWorld.eventText(2) + ForwardWorld.eventText(3),
        caller.body.toString());
  }

  @Test
  void cancelsAttemptThatSkipsEvent() {
    ForwardWorld.SentCall call = startStream(2);

    call.event(4);

    assertTrue(call.cancelled);
    assertEquals(2, world.sentCalls.size());
    assertFalse(caller.body.toString().contains("id: 4"));
  }

  @Test
  void doesNotForwardPartialEvent() {
    ForwardWorld.SentCall call = startStream(1);

    call.listener.onBody("id: 2\ndata: ha".getBytes(StandardCharsets.UTF_8));
    call.listener.onEnd(ResponseEnd.LAST_CHUNK);

    assertFalse(caller.finished);
    assertEquals(ForwardWorld.eventText(1), caller.body.toString());
    assertEquals(OptionalLong.of(1), world.lastCall().dispatch.lastEventId());
  }

  @Test
  void usesNoCopyWhenRequestWasNotSent() {
    world.submit("/stream/x", caller);

    world.fail(world.lastCall(), TargetFailure.NOT_CONNECTED);

    assertEquals(Optional.empty(), world.lastCall().dispatch.continueFrom());
  }

  @Test
  void usesNoCopyAfterTargetDeclaredNotExecuted() {
    world.submit("/stream/x", caller);

    world.lastCall().rejectNotExecuted(421);

    assertEquals(Optional.empty(), world.lastCall().dispatch.continueFrom());
  }

  @Test
  void continuesWithoutCopyWhenCopyIsMissing() {
    world.fail(startStream(2), TargetFailure.RESET);

    world.lastCall().rejectNotExecuted(503);

    assertEquals(3, world.sentCalls.size());
    assertEquals(Optional.empty(), world.lastCall().dispatch.continueFrom());
    assertEquals(OptionalLong.of(2), world.lastCall().dispatch.lastEventId());
  }

  @Test
  void movesStreamFromSilentTargetThatIsGone() {
    ForwardWorld.SentCall first = startStream(2);

    world.advanceTime(250);
    assertEquals(1, world.probes.size());
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertTrue(first.cancelled);
    assertEquals(2, world.sentCalls.size());
    assertNotEquals(first.target(), world.lastCall().target());
  }

  @Test
  void keepsStreamAtSilentTargetThatIsAlive() {
    ForwardWorld.SentCall first = startStream(2);

    world.advanceTime(250);
    world.lastProbe().listener().onResult(ProbeResult.ALIVE);
    world.advanceTime(100);

    assertFalse(first.cancelled);
    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void keepsStreamThatSentEventDuringProbe() {
    ForwardWorld.SentCall first = startStream(2);

    world.advanceTime(250);
    first.event(3);
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertFalse(first.cancelled);
  }

  @Test
  void cancelsAttemptWhenCallerDisconnects() {
    Exchange exchange = world.submit("/stream/x", caller).orElseThrow();
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, true).event(1);

    exchange.onCallerDisconnected();

    assertTrue(call.cancelled);
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  @Test
  void abortsStreamAtDeadline() {
    startStream(1);

    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS + 1);

    assertTrue(caller.aborted);
  }

  @Test
  void findsCopyByAddressAfterHolderChangedItsId() {
    ForwardWorld.SentCall first = startStream(2);
    restartHolderOf(first);

    world.fail(first, TargetFailure.RESET);

    assertEquals("e9", world.lastCall().target());
    assertEquals(Optional.of("r1"), world.lastCall().dispatch.continueFrom());
  }

  @Test
  void usesNoCopyAfterExecutionWithoutEvents() {
    world.submit("/stream/x", caller);
    ForwardWorld.SentCall first = world.lastCall().accept().respondHead(200, true);
    world.advanceTime(390);

    world.fail(first, TargetFailure.RESET);

    assertEquals(Optional.empty(), world.lastCall().dispatch.continueFrom());
  }

  @Test
  void sendsNothingToTargetWithReassignedAddress() {
    world.restart("e1", "e9");

    for (int i = 0; i < 20; i++) {
      world.submit("/stream/x", new ForwardWorld.Caller());
      assertNotEquals("e1", world.lastCall().target());
    }
  }

  @Test
  void avoidsDataCentreWithFailingTargets() {
    world.list(
        ForwardWorld.target("e1", ForwardWorld.ENGINES, "north"),
        ForwardWorld.target("e2", ForwardWorld.ENGINES, "north"),
        ForwardWorld.target("e3", ForwardWorld.ENGINES, "south"));
    world.submit("/stream/x", caller);
    while (world.lastCall().target().equals("e3")) {
      world.submit("/stream/x", new ForwardWorld.Caller());
    }

    world.fail(world.lastCall(), TargetFailure.NOT_CONNECTED);

    assertEquals("e3", world.lastCall().target());
  }

  private void restartHolderOf(ForwardWorld.SentCall call) {
    Address holder = call.dispatch.copyTo().orElseThrow();
    world.restart(
        world
            .targets
            .findByAddress(ForwardWorld.ENGINES, holder)
            .orElseThrow()
            .description()
            .id()
            .value(),
        "e9");
  }

  @Test
  void hasTheRunOrItsCopyInThisHostsDataCentre() {
    for (int i = 0; i < 20; i++) {
      world.submit("/stream/x", new ForwardWorld.Caller());
      Dispatch dispatch = world.lastCall().dispatch;
      Address holder = dispatch.copyTo().orElseThrow();
      String executionDataCentre = dispatch.target().dataCentre().value();
      String copyDataCentre =
          world
              .targets
              .findByAddress(ForwardWorld.ENGINES, holder)
              .orElseThrow()
              .description()
              .dataCentre()
              .value();
      assertNotEquals(executionDataCentre, copyDataCentre);
      assertTrue(executionDataCentre.equals("north") || copyDataCentre.equals("north"));
    }
  }

  @Test
  void doesNotCountAttemptDeclaredNotExecuted() {
    world.submit("/stream/x", caller);
    for (int i = 0; i < 2; i++) {
      world.lastCall().rejectNotExecuted(421);
    }
    ForwardWorld.SentCall running = world.lastCall().accept().respondHead(200, true).event(1);
    world.list(
        ForwardWorld.target("e7", ForwardWorld.ENGINES, "north"),
        ForwardWorld.target("e8", ForwardWorld.ENGINES, "south"));

    for (int i = 0; i < 4; i++) {
      world.fail(running, TargetFailure.RESET);
      running = world.lastCall().accept().respondHead(200, true).event(2 + i);
    }

    assertFalse(caller.isFinal());
  }

  /**
   * Receives a report that the engines have more queued prefills than the response time objective
   * allows.
   */
  private void overload() {
    Map<TargetId, TargetLoad> reportedLoads = new HashMap<>();
    for (TargetState target : world.targets.notLeaving(ForwardWorld.ENGINES)) {
      reportedLoads.put(target.description().id(), new TargetLoad(9, 9, 0, 0, TargetLoad.NEVER));
    }
    DemandKey accountDemand =
        new DemandKey(ForwardWorld.ENGINES, 1, Optional.of(new AccountId("a1")));
    world.loads.receive(
        new LoadReport(
            new HostId("h2"),
            new Address("10.0.9.9", 7_200),
            LoadScope.DATA_CENTRE,
            1,
            1,
            OptionalLong.empty(),
            reportedLoads,
            Map.of(DemandKey.allOf(ForwardWorld.ENGINES), 50.0, accountDemand, 50.0)));
  }

  @Test
  void streamBeyondFairShareIsQueuedUntilOverloadEnds() {
    overload();
    world.submit("/stream/x", caller);
    world.advanceTime(1_000);
    assertTrue(world.sentCalls.isEmpty());
    assertFalse(caller.isFinal());

    world.advanceTime(2_500);

    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void queuedStreamIsNotSentAfterCallerDisconnects() {
    overload();
    world.submit("/stream/x", caller).orElseThrow().onCallerDisconnected();

    world.advanceTime(5_000);

    assertTrue(world.sentCalls.isEmpty());
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  @Test
  void queuedRequestsAreRejectedAtShutdown() {
    overload();
    world.submit("/stream/x", caller);
    world.forwarder.beginShutdown(world.context.now() + 1, world.context.now() + 8_000);

    world.advanceTime(500);

    assertEquals(Rejection.STOPPING, caller.rejection);
  }

  @Test
  void resumedStreamIsNotQueued() {
    overload();
    world.lastEventId = OptionalLong.of(7);
    world.submit("/stream/x", caller);

    assertEquals(1, world.sentCalls.size());
  }
}
