package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.scheduling.SchedulingFeature;
import org.gatereel.core.target.TargetState;
import org.junit.jupiter.api.Test;

/** A target that is silent for a while and then continues. */
class SilentTargetTest {
  private static final int MANY_HOSTS = 60;
  private static final long SILENCE_MILLIS = 2_000;

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();

  private SentCall startStream(long lastEvent) {
    world.submit("/stream/x", caller);
    SentCall call = world.lastCall().accept().respondHead(200, true);
    for (long id = 1; id <= lastEvent; id++) {
      call.event(id);
    }
    return call;
  }

  private void listOneTargetOfEachService() {
    world.list(
        ForwardWorld.target("e1", ForwardWorld.ENGINES, "north"),
        ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"));
  }

  private void failProbes() {
    while (!world.probes.isEmpty()) {
      world.probes.remove(0).listener().onResult(ProbeResult.UNKNOWN);
    }
  }

  private void stayUnresponsive() {
    for (long millis = 0; millis < SILENCE_MILLIS; millis += 50) {
      world.advanceTime(50);
      failProbes();
    }
  }

  /** Other hosts keep this one's share of the retry budget small enough to be used up. */
  private void spendRetryBudget() {
    List<HostDirectory.Entry> entries = new ArrayList<>();
    for (int number = 0; number < MANY_HOSTS; number++) {
      entries.add(
          new HostDirectory.Entry(
              "peer" + number, new DataCentre("north"), new Address("10.0.2." + number, 7), 0));
    }
    for (int reading = 0; reading < 3; reading++) {
      world.directory.update(entries, 0);
    }
    while (world.retryLoanRequests.isEmpty()) {
      Exchange other = world.submit("/stream/x", new Caller()).orElseThrow();
      for (int retry = 0; retry < 3 && world.retryLoanRequests.isEmpty(); retry++) {
        world.fail(
            world.lastCall().accept().respondHead(200, true).event(retry + 1), TargetFailure.RESET);
      }
      other.onCallerDisconnected();
    }
    refuseRetries();
  }

  private void refuseRetries() {
    while (!world.retryLoanRequests.isEmpty()) {
      world.retryLoanRequests.remove(0).accept(0);
    }
  }

  private void assertContinues(SentCall call, long nextEvent) {
    assertFalse(caller.isFinal());
    assertFalse(call.cancelled);
    call.event(nextEvent).listener.onEnd(ResponseEnd.LAST_CHUNK);
    assertTrue(caller.finished);
    assertTrue(caller.body.toString().endsWith(ForwardWorld.eventText(nextEvent)));
  }

  @Test
  void streamIsKeptWhenNoOtherTargetExists() {
    listOneTargetOfEachService();
    SentCall call = startStream(2);

    stayUnresponsive();

    assertContinues(call, 3);
  }

  @Test
  void streamIsKeptWhenRetryBudgetIsSpent() {
    SentCall call = startStream(2);
    spendRetryBudget();

    for (int round = 0; round < 10; round++) {
      world.advanceTime(200);
      failProbes();
      refuseRetries();
    }

    assertContinues(call, 3);
  }

  @Test
  void streamIsKeptWhenAttemptsAreUsedUp() {
    startStream(1);
    for (int attempt = 1; attempt < 5; attempt++) {
      world.fail(world.lastCall(), TargetFailure.RESET);
      world.lastCall().accept().respondHead(200, true).event(attempt + 1);
    }
    SentCall last = world.lastCall();

    stayUnresponsive();

    assertContinues(last, 6);
  }

  @Test
  void streamWithoutEventsIsKeptWhenNoOtherTargetExists() {
    listOneTargetOfEachService();
    world.submit("/stream/x", caller);
    SentCall call = world.lastCall().accept();

    stayUnresponsive();

    assertFalse(caller.isFinal());
    assertContinues(call.respondHead(200, true), 1);
  }

  @Test
  void streamThatCannotBeResumedIsKept() {
    SentCall call = startStream(0).text("data: without id\n\n");

    stayUnresponsive();

    assertContinues(call, 1);
  }

  /** A target may respond to probes while it sends no events for longer than the stall timeout. */
  @Test
  void stalledStreamIsKeptWhenNoOtherTargetExists() {
    listOneTargetOfEachService();
    SentCall call = startStream(2);

    for (int round = 0; round < 30; round++) {
      world.advanceTime(100);
      world.probes.forEach(probe -> probe.listener().onResult(ProbeResult.ALIVE));
      world.probes.clear();
    }

    assertContinues(call, 3);
  }

  @Test
  void callIsKeptWhenProbeOfItsTargetFails() {
    listOneTargetOfEachService();
    world.submit("/safe/x", caller);
    SentCall call = world.lastCall().accept();

    world.advanceTime(10);
    world.forwarder.probe(targetOf("c1"));
    failProbes();

    assertFalse(caller.isFinal());
    call.respondHead(200, false).listener.onEnd(ResponseEnd.LENGTH_REACHED);
    assertTrue(caller.finished);
  }

  private TargetState targetOf(String id) {
    return world.targets.find(new TargetId(id)).orElseThrow();
  }

  @Test
  void streamIsMovedWhenAnotherTargetExists() {
    SentCall first = startStream(2);

    world.advanceTime(250);
    failProbes();

    assertTrue(first.cancelled);
    assertEquals(2, world.sentCalls.size());
    assertNotEquals(first.target(), world.lastCall().target());
    assertTrue(world.lastCall().dispatch.continueFrom().isPresent());
    assertContinues(world.lastCall().accept().respondHead(200, true), 3);
  }

  @Test
  void streamIsMovedWhenRetryIsGranted() {
    SentCall first = startStream(2);
    spendRetryBudget();
    world.advanceTime(250);
    failProbes();
    assertFalse(first.cancelled);

    world.retryLoanRequests.remove(0).accept(1);

    assertTrue(first.cancelled);
    assertNotEquals(first.target(), world.lastCall().target());
  }

  /** The retry of a move that is called off is kept for a later failure of the request. */
  @Test
  void streamThatContinuesBeforeRetryIsGrantedIsNotMoved() {
    SentCall first = startStream(2);
    spendRetryBudget();
    world.advanceTime(250);
    failProbes();
    first.event(3);
    int sent = world.sentCalls.size();

    world.retryLoanRequests.remove(0).accept(1);

    assertEquals(sent, world.sentCalls.size());
    assertFalse(first.cancelled);
    world.fail(first, TargetFailure.RESET);
    assertEquals(sent + 1, world.sentCalls.size());
    assertTrue(world.retryLoanRequests.isEmpty());
  }

  @Test
  void targetThatFailsBeforeRetryIsGrantedIsReplacedOnce() {
    SentCall first = startStream(2);
    spendRetryBudget();
    int sent = world.sentCalls.size();
    world.advanceTime(250);
    failProbes();

    world.fail(first, TargetFailure.RESET);
    assertEquals(1, world.retryLoanRequests.size());
    world.retryLoanRequests.remove(0).accept(1);

    assertEquals(sent + 1, world.sentCalls.size());
    assertTrue(world.retryLoanRequests.isEmpty());
    assertContinues(world.lastCall().accept().respondHead(200, true), 3);
  }

  @Test
  void silentTargetThatIsGoneEndsStreamWithoutReplacement() {
    listOneTargetOfEachService();
    startStream(2);
    world.advanceTime(250);
    failProbes();
    assertFalse(caller.isFinal());

    world.list(ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"));
    world.advanceTime(250);
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertTrue(caller.aborted);
  }

  /** An entry may lapse while its target is silent. */
  @Test
  void streamIsKeptWhileItsTargetIsNotListed() {
    listOneTargetOfEachService();
    SentCall call = startStream(2);

    world.list(ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"));
    stayUnresponsive();

    assertContinues(call, 3);
  }

  @Test
  void silentStreamEndsAtItsDeadline() {
    listOneTargetOfEachService();
    SentCall call = startStream(2);
    stayUnresponsive();

    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS);

    assertTrue(caller.aborted);
    assertTrue(call.cancelled);
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  /** A target may be silent right after it has closed the connection of a whole response. */
  @Test
  void closedResponseOfSilentTargetIsCompletedWhenItRespondsAgain() {
    listOneTargetOfEachService();
    for (String path : new String[] {"/safe/x", "/stream/x"}) {
      Caller other = new Caller();
      world.submit(path, other);
      SentCall call = world.lastCall().accept().respondHead(200, path.startsWith("/stream"));
      call.event(1).listener.onEnd(ResponseEnd.CONNECTION_CLOSED);

      stayUnresponsive();
      assertFalse(other.isFinal(), path);
      world.advanceTime(SILENCE_MILLIS);
      world.probes.forEach(probe -> probe.listener().onResult(ProbeResult.ALIVE));
      world.probes.clear();

      assertTrue(other.finished, path);
    }
  }

  /** Only its own incarnation can confirm a response; waiting for it would never end. */
  @Test
  void closedResponseOfTargetThatRespondsWithoutIncarnationIsRetried() {
    listOneTargetOfEachService();
    SentCall first = startStream(2);
    first.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
    for (int number = 0; number < 2; number++) {
      assertEquals(1, world.sentCalls.size());
      world.lastProbe().listener().onResult(ProbeResult.ANSWERED);
      world.advanceTime(150);
    }

    assertEquals(2, world.sentCalls.size());
    assertContinues(world.lastCall().accept().respondHead(200, true), 3);
  }

  private static void reportFull(ForwardWorld limited) {
    Map<TargetId, TargetLoad> loads = new HashMap<>();
    for (String engine : new String[] {"e1", "e2", "e3"}) {
      loads.put(new TargetId(engine), new TargetLoad(6, 0, 0, 0, TargetLoad.NEVER));
    }
    limited.loads.receive(
        new LoadReport(
            new HostId("h2"),
            new Address("10.0.1.2", 7_215),
            LoadScope.EVERYONE_ELSE,
            1,
            1,
            OptionalLong.empty(),
            loads,
            Map.of()));
  }

  /** A search that waits for room must neither end the stream nor outlive the silence. */
  @Test
  void streamThatWaitsForRoomElsewhereIsKept() {
    for (boolean stopping : new boolean[] {false, true}) {
      ForwardWorld limited = new ForwardWorld(Set.of(SchedulingFeature.TARGET_ROOM));
      Caller other = new Caller();
      limited.submit("/stream/x", other);
      SentCall call = limited.lastCall().accept().respondHead(200, true).event(1);
      reportFull(limited);
      limited.advanceTime(250);
      limited.lastProbe().listener().onResult(ProbeResult.UNKNOWN);
      assertEquals(1, limited.forwarder.room().waitingRequests());

      if (stopping) {
        limited.forwarder.beginShutdown(limited.context.now() + 1, limited.context.now() + 8_000);
        limited.advanceTime(1_000);
        assertFalse(other.isFinal());
      }
      call.event(2);
      assertEquals(0, limited.forwarder.room().waitingRequests());
      limited.advanceTime(100);

      assertEquals(1, limited.sentCalls.size());
      call.listener.onEnd(ResponseEnd.LAST_CHUNK);
      assertTrue(other.finished);
    }
  }
}
