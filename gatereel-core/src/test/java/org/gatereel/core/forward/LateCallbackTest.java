package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.junit.jupiter.api.Test;

/** Late callbacks of attempts and queries that were cancelled or have ended are ignored. */
class LateCallbackTest {
  private static final int MANY_HOSTS = 60;

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();
  private Caller waitingCaller;
  private Exchange latest;

  /** Callbacks that may arrive after an attempt was cancelled. */
  private static final List<Consumer<SentCall>> LATE_CALLBACKS =
      List.of(
          SentCall::accept,
          call -> call.respondHead(200, true),
          call -> call.respondHead(500, false),
          call -> call.rejectNotExecuted(421),
          call -> call.event(2),
          call -> call.text("data: without id\n\n"),
          call -> call.text("id: 2\ndata: half"),
          call -> call.listener.onEnd(ResponseEnd.LAST_CHUNK),
          call -> call.listener.onEnd(ResponseEnd.LENGTH_REACHED),
          call -> call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED),
          call -> call.listener.onFailure(TargetFailure.RESET),
          call -> call.listener.onFailure(TargetFailure.NOT_CONNECTED),
          call -> call.listener.onFailure(TargetFailure.FULL));

  /** Ways to cancel an attempt so that another one starts. */
  private static final List<BiConsumer<Exchange, SentCall>> CANCELLATIONS =
      List.of(
          (exchange, call) -> exchange.onTargetLost(TargetFailure.TIMEOUT),
          (exchange, call) -> call.listener.onFailure(TargetFailure.RESET),
          (exchange, call) -> call.event(7),
          (exchange, call) -> call.text("id: 2\ndata: ha").listener.onEnd(ResponseEnd.LAST_CHUNK));

  /** The progress of the next attempt when a late callback arrives. */
  private static final List<Consumer<SentCall>> NEXT_PROGRESS =
      List.of(
          next -> {},
          SentCall::accept,
          next -> next.accept().respondHead(200, true),
          next -> next.accept().respondHead(200, true).event(1));

  @Test
  void callbacksOfAbandonedAttemptDoNotReachCaller() {
    for (BiConsumer<Exchange, SentCall> cancellation : CANCELLATIONS) {
      for (Consumer<SentCall> next : NEXT_PROGRESS) {
        ForwardWorld fresh = new ForwardWorld();
        Caller otherCaller = new Caller();
        Exchange exchange = fresh.submit("/stream/x", otherCaller).orElseThrow();
        SentCall first = fresh.lastCall().accept().respondHead(200, true).event(1);
        cancellation.accept(exchange, first);
        SentCall second = fresh.lastCall();
        next.accept(second);

        LATE_CALLBACKS.forEach(late -> late.accept(first));

        assertTrue(first.cancelled);
        assertFalse(second.cancelled);
        assertEquals(2, fresh.sentCalls.size());
        assertFalse(otherCaller.isFinal());
        assertEquals(ForwardWorld.eventText(1), otherCaller.body.toString());
        assertEquals(second.target(), targetOf(exchange));
        if (next == NEXT_PROGRESS.get(0) || next == NEXT_PROGRESS.get(1)) {
          second.accept().respondHead(200, true);
        }
        second.event(2).listener.onEnd(ResponseEnd.LAST_CHUNK);
        assertTrue(otherCaller.finished);
        assertEquals(
            ForwardWorld.eventText(1) + ForwardWorld.eventText(2), otherCaller.body.toString());
      }
    }
  }

  private static String targetOf(Exchange exchange) {
    return exchange.currentTarget().orElseThrow().description().id().value();
  }

  /** Ways to finish a request while an attempt is open. */
  private static final List<BiConsumer<ForwardWorld, Exchange>> FINISHERS =
      List.of(
          (fresh, exchange) -> fresh.advanceTime(ForwardWorld.TIMEOUT_MILLIS),
          (fresh, exchange) -> exchange.onCallerDisconnected(),
          (fresh, exchange) -> fresh.forwarder.stopAll());

  @Test
  void callbacksAreIgnoredAfterRequestHasFinished() {
    for (BiConsumer<ForwardWorld, Exchange> finisher : FINISHERS) {
      for (String path : ForwardingScenario.PATHS) {
        ForwardWorld fresh = new ForwardWorld();
        Caller otherCaller = new Caller();
        Exchange exchange = fresh.submit(path, otherCaller).orElseThrow();
        SentCall first = fresh.lastCall().accept();
        finisher.accept(fresh, exchange);
        int sent = fresh.sentCalls.size();
        String body = otherCaller.body.toString();

        LATE_CALLBACKS.forEach(late -> late.accept(first));

        assertEquals(sent, fresh.sentCalls.size());
        assertEquals(body, otherCaller.body.toString());
        assertFalse(otherCaller.finished);
        assertEquals(0, fresh.forwarder.openExchangeCount());
      }
    }
  }

  /** Guards against callbacks after the response end while it is still being verified. */
  @Test
  void callbacksAreIgnoredWhileResponseEndIsUnconfirmed() {
    world.submit("/stream/x", caller);
    SentCall call = world.lastCall().accept().respondHead(200, true).event(1);
    call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);

    LATE_CALLBACKS.forEach(late -> late.accept(call));

    assertFalse(caller.isFinal());
    assertEquals(1, world.sentCalls.size());
    assertEquals(1, world.probes.size());
    world.lastProbe().listener().onResult(ProbeResult.ALIVE);
    assertTrue(caller.finished);
    assertEquals(ForwardWorld.eventText(1), caller.body.toString());
  }

  /** Guards against ending a response twice. */
  @Test
  void secondProbeResultIsIgnored() {
    world.submit("/stream/x", caller);
    SentCall first = world.lastCall().accept().respondHead(200, true).event(1);
    first.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
    ForwardWorld.SentProbe probe = world.lastProbe();

    probe.listener().onResult(ProbeResult.GONE);
    probe.listener().onResult(ProbeResult.ALIVE);
    probe.listener().onResult(ProbeResult.GONE);

    assertEquals(2, world.sentCalls.size());
    assertFalse(caller.isFinal());
    assertFalse(world.lastCall().cancelled);
  }

  private Exchange waitForRetry() {
    List<HostDirectory.Entry> entries = new ArrayList<>();
    for (int number = 0; number < MANY_HOSTS; number++) {
      entries.add(
          new HostDirectory.Entry(
              "peer" + number, new DataCentre("north"), new Address("10.0.2." + number, 7), 0));
    }
    for (int reading = 0; reading < 3; reading++) {
      world.directory.update(entries, 0);
    }
    while (true) {
      Caller otherCaller = new Caller();
      Exchange exchange = world.submit("/stream/x", otherCaller).orElseThrow();
      SentCall first = world.lastCall().accept().respondHead(200, true).event(1);
      world.fail(first, TargetFailure.RESET);
      if (!world.retryLoanRequests.isEmpty()) {
        waitingCaller = otherCaller;
        return exchange;
      }
      world.lastCall().accept().respondHead(200, true).listener.onEnd(ResponseEnd.LAST_CHUNK);
      assertTrue(world.sentCalls.size() < 100, "local retry budget is never exhausted");
    }
  }

  @Test
  void pendingRetryIsSentOnceDespiteLateCallbacks() {
    waitForRetry();
    SentCall first = world.lastCall();
    int before = world.sentCalls.size();

    LATE_CALLBACKS.forEach(late -> late.accept(first));
    assertEquals(before, world.sentCalls.size());
    world.retryLoanRequests.get(0).accept(1);
    LATE_CALLBACKS.forEach(late -> late.accept(first));

    assertEquals(before + 1, world.sentCalls.size());
    assertEquals(OptionalLong.of(1), world.lastCall().dispatch.lastEventId());
    assertEquals(ForwardWorld.eventText(1), waitingCaller.body.toString());
    assertFalse(waitingCaller.isFinal());
  }

  @Test
  void retryGrantedAfterRequestHasFinishedIsNotSent() {
    for (BiConsumer<ForwardWorld, Exchange> finisher : FINISHERS) {
      LateCallbackTest fresh = new LateCallbackTest();
      Exchange exchange = fresh.waitForRetry();
      finisher.accept(fresh.world, exchange);
      int sent = fresh.world.sentCalls.size();

      fresh.world.retryLoanRequests.get(0).accept(1);

      assertEquals(sent, fresh.world.sentCalls.size());
      assertFalse(fresh.waitingCaller.finished);
      assertEquals(0, fresh.world.forwarder.openExchangeCount());
    }
  }

  @Test
  void promptLocatedAfterRequestHasFinishedSendsNothing() {
    for (BiConsumer<ForwardWorld, Exchange> finisher : FINISHERS) {
      ForwardWorld fresh = new ForwardWorld();
      fresh.promptPart = Optional.of("part");
      fresh.lastEventId = OptionalLong.of(3);
      Exchange exchange = fresh.submit("/stream/x", new Caller()).orElseThrow();
      assertFalse(fresh.promptQueries.isEmpty());
      assertTrue(fresh.sentCalls.isEmpty());
      finisher.accept(fresh, exchange);
      int sent = fresh.sentCalls.size();

      fresh.promptQueries.forEach(query -> query.response().accept(Optional.of(Set.of())));

      assertEquals(sent, fresh.sentCalls.size());
      assertTrue(fresh.sentCalls.stream().allMatch(call -> call.cancelled));
      assertEquals(0, fresh.forwarder.openExchangeCount());
    }
  }

  /** A write can itself report that the caller has disconnected. */
  @Test
  void stopsWritingWhenCallerDisconnectsDuringWrite() {
    Caller leaving =
        new Caller() {
          @Override
          public void write(byte[] bytes) {
            super.write(bytes);
            latest.onCallerDisconnected();
          }
        };
    latest = world.submit("/stream/x", leaving).orElseThrow();
    SentCall call = world.lastCall().accept().respondHead(200, true);

    call.text(ForwardWorld.eventText(1) + ForwardWorld.eventText(2));

    assertEquals(ForwardWorld.eventText(1), leaving.body.toString());
    assertTrue(call.cancelled);
    assertEquals(0, world.forwarder.openExchangeCount());
  }
}
