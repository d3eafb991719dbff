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
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.junit.jupiter.api.Test;

/** What is heard of an attempt, or of a question, after it was given up changes nothing. */
class LateCallbackTest {
  private static final int MANY_HOSTS = 60;

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();
  private Caller waiting;
  private Exchange latest;

  /** All that may still come of a call that was given up, alone and in this order. */
  private static final List<Consumer<SentCall>> LATE =
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

  /** How an attempt may be given up so that another one starts. */
  private static final List<BiConsumer<Exchange, SentCall>> GIVING_UP =
      List.of(
          (exchange, call) -> exchange.onTargetLost(TargetFailure.TIMEOUT),
          (exchange, call) -> call.listener.onFailure(TargetFailure.RESET),
          (exchange, call) -> call.event(7),
          (exchange, call) -> call.text("id: 2\ndata: ha").listener.onEnd(ResponseEnd.LAST_CHUNK));

  /** How far the next attempt has come when something is heard of the last one. */
  private static final List<Consumer<SentCall>> NEXT =
      List.of(
          next -> {},
          SentCall::accept,
          next -> next.accept().respondHead(200, true),
          next -> next.accept().respondHead(200, true).event(1));

  @Test
  void nothingOfAnAttemptThatWasGivenUpReachesTheCaller() {
    for (BiConsumer<Exchange, SentCall> giveUp : GIVING_UP) {
      for (Consumer<SentCall> next : NEXT) {
        ForwardWorld fresh = new ForwardWorld();
        Caller asking = new Caller();
        Exchange exchange = fresh.submit("/stream/x", asking).orElseThrow();
        SentCall first = fresh.lastCall().accept().respondHead(200, true).event(1);
        giveUp.accept(exchange, first);
        SentCall second = fresh.lastCall();
        next.accept(second);

        LATE.forEach(late -> late.accept(first));

        assertTrue(first.cancelled);
        assertFalse(second.cancelled);
        assertEquals(2, fresh.sentCalls.size());
        assertFalse(asking.isFinal());
        assertEquals(ForwardWorld.eventText(1), asking.body.toString());
        assertEquals(second.target(), targetOf(exchange));
        if (next == NEXT.get(0) || next == NEXT.get(1)) {
          second.accept().respondHead(200, true);
        }
        second.event(2).listener.onEnd(ResponseEnd.LAST_CHUNK);
        assertTrue(asking.finished);
        assertEquals(ForwardWorld.eventText(1) + ForwardWorld.eventText(2), asking.body.toString());
      }
    }
  }

  private static String targetOf(Exchange exchange) {
    return exchange.currentTarget().orElseThrow().description().id().value();
  }

  /** How a request may be over while an attempt is open. */
  private static final List<BiConsumer<ForwardWorld, Exchange>> OVER =
      List.of(
          (fresh, exchange) -> fresh.advanceTime(ForwardWorld.TIMEOUT_MILLIS),
          (fresh, exchange) -> exchange.onCallerDisconnected(),
          (fresh, exchange) -> fresh.forwarder.stopAll());

  @Test
  void nothingIsHeardOfAnAttemptOnceTheRequestIsOver() {
    for (BiConsumer<ForwardWorld, Exchange> over : OVER) {
      for (String path : ForwardingScenario.PATHS) {
        ForwardWorld fresh = new ForwardWorld();
        Caller asking = new Caller();
        Exchange exchange = fresh.submit(path, asking).orElseThrow();
        SentCall first = fresh.lastCall().accept();
        over.accept(fresh, exchange);
        int sent = fresh.sentCalls.size();
        String body = asking.body.toString();

        LATE.forEach(late -> late.accept(first));

        assertEquals(sent, fresh.sentCalls.size());
        assertEquals(body, asking.body.toString());
        assertFalse(asking.finished);
        assertEquals(0, fresh.forwarder.openExchangeCount());
      }
    }
  }

  /** An end is the last word of an attempt, also while it is not known what it is worth. */
  @Test
  void nothingIsHeardOfAnAttemptWhoseEndIsInDoubt() {
    world.submit("/stream/x", caller);
    SentCall call = world.lastCall().accept().respondHead(200, true).event(1);
    call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);

    LATE.forEach(late -> late.accept(call));

    assertFalse(caller.isFinal());
    assertEquals(1, world.sentCalls.size());
    assertEquals(1, world.probes.size());
    world.lastProbe().listener().onResult(ProbeResult.ALIVE);
    assertTrue(caller.finished);
    assertEquals(ForwardWorld.eventText(1), caller.body.toString());
  }

  /** A probe is answered once; a second answer would end an answer that has its end. */
  @Test
  void aSecondAnswerOfAProbeChangesNothing() {
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

  private Exchange waitingForRepeat() {
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
      Caller asking = new Caller();
      Exchange exchange = world.submit("/stream/x", asking).orElseThrow();
      SentCall first = world.lastCall().accept().respondHead(200, true).event(1);
      world.fail(first, TargetFailure.RESET);
      if (!world.retryLoanRequests.isEmpty()) {
        waiting = asking;
        return exchange;
      }
      world.lastCall().accept().respondHead(200, true).listener.onEnd(ResponseEnd.LAST_CHUNK);
      assertTrue(world.sentCalls.size() < 100, "the own part never ends");
    }
  }

  @Test
  void aRepeatThatIsWaitedForIsSentOnceWhateverIsHeardMeanwhile() {
    waitingForRepeat();
    SentCall first = world.lastCall();
    int before = world.sentCalls.size();

    LATE.forEach(late -> late.accept(first));
    assertEquals(before, world.sentCalls.size());
    world.retryLoanRequests.get(0).accept(1);
    LATE.forEach(late -> late.accept(first));

    assertEquals(before + 1, world.sentCalls.size());
    assertEquals(OptionalLong.of(1), world.lastCall().dispatch.lastEventId());
    assertEquals(ForwardWorld.eventText(1), waiting.body.toString());
    assertFalse(waiting.isFinal());
  }

  @Test
  void aRepeatThatIsGrantedAfterTheRequestIsOverIsNotSent() {
    for (BiConsumer<ForwardWorld, Exchange> over : OVER) {
      LateCallbackTest fresh = new LateCallbackTest();
      Exchange exchange = fresh.waitingForRepeat();
      over.accept(fresh.world, exchange);
      int sent = fresh.world.sentCalls.size();

      fresh.world.retryLoanRequests.get(0).accept(1);

      assertEquals(sent, fresh.world.sentCalls.size());
      assertFalse(fresh.waiting.finished);
      assertEquals(0, fresh.world.forwarder.openExchangeCount());
    }
  }

  @Test
  void promptsThatAreLocatedAfterTheRequestIsOverSendNothing() {
    for (BiConsumer<ForwardWorld, Exchange> over : OVER) {
      ForwardWorld fresh = new ForwardWorld();
      fresh.promptPart = Optional.of("part");
      fresh.lastEventId = OptionalLong.of(3);
      Exchange exchange = fresh.submit("/stream/x", new Caller()).orElseThrow();
      assertFalse(fresh.promptQueries.isEmpty());
      over.accept(fresh, exchange);

      fresh.promptQueries.forEach(question -> question.response().accept(Optional.of(Set.of())));

      assertTrue(fresh.sentCalls.isEmpty());
      assertEquals(0, fresh.forwarder.openExchangeCount());
    }
  }

  /** A caller that cannot be written to may be found gone within the writing itself. */
  @Test
  void nothingMoreIsWrittenOnceTheCallerIsGoneWithinAWrite() {
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
