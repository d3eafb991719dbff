package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.scheduling.SchedulingFeature;
import org.junit.jupiter.api.Test;

/** Streams whose targets end one after another, with {@code STREAM_RETRIES}. */
class StreamRetriesTest {
  private static final int HOSTS = 60;
  private static final long ROUND_MILLIS = 200;
  private static final long PATIENCE_MILLIS = 5_600;

  private final ForwardWorld world = new ForwardWorld(1, Set.of(SchedulingFeature.STREAM_RETRIES));
  private ForwardWorld.Caller caller;
  private Exchange exchange;

  private void listHosts() {
    List<HostDirectory.Entry> entries = new ArrayList<>();
    for (int number = 0; number < HOSTS; number++) {
      DataCentre dataCentre = new DataCentre(number % 2 == 0 ? "north" : "south");
      entries.add(
          new HostDirectory.Entry(
              "peer" + number, dataCentre, new Address("10.0.2." + number, 7), 0));
    }
    for (int reading = 0; reading < 3; reading++) {
      world.directory.update(entries, 0);
    }
  }

  private void startStream() {
    caller = new ForwardWorld.Caller();
    exchange = world.submit("/stream/x", caller).orElseThrow();
    world.lastCall().accept().respondHead(200, true).event(1);
  }

  /** Fails streams at their first targets until one asks other hosts for a retry. */
  private void waitForRetry() {
    listHosts();
    while (world.retryLoanRequests.isEmpty()) {
      startStream();
      world.fail(world.lastCall(), TargetFailure.RESET);
      if (world.retryLoanRequests.isEmpty()) {
        exchange.onCallerDisconnected();
      }
      assertTrue(world.sentCalls.size() < 100, "local retry budget is never exhausted");
    }
  }

  private void answerLastQuestion(int granted) {
    world.retryLoanRequests.remove(0).accept(granted);
  }

  private void denyRound() {
    while (!world.retryLoanRequests.isEmpty()) {
      answerLastQuestion(0);
    }
  }

  /** A stream was interrupted when the issuer of its own data centre had no retry left. */
  @Test
  void asksOtherHostsAfterTheOwnIssuer() {
    waitForRetry();
    answerLastQuestion(0);
    assertFalse(caller.isFinal());

    answerLastQuestion(1);

    assertEquals(OptionalLong.of(1), world.lastCall().dispatch.lastEventId());
    world.lastCall().accept().respondHead(200, true).event(2);
    assertEquals(ForwardWorld.eventText(1) + ForwardWorld.eventText(2), caller.body.toString());
  }

  /** A stream was interrupted while its caller would still have waited for a retry. */
  @Test
  void asksAgainWhileTheCallerWaits() {
    waitForRetry();
    denyRound();
    int before = world.sentCalls.size();

    world.advanceTime(ROUND_MILLIS);
    answerLastQuestion(1);

    assertEquals(before + 1, world.sentCalls.size());
    assertFalse(caller.isFinal());
  }

  /** A stream that gets no retry must not be held until its deadline. */
  @Test
  void interruptsAfterTheCallersPatience() {
    waitForRetry();
    for (long millis = 0; millis < PATIENCE_MILLIS; millis += ROUND_MILLIS) {
      denyRound();
      assertFalse(caller.isFinal(), "interrupted after " + millis);
      world.advanceTime(ROUND_MILLIS);
    }
    denyRound();
    world.advanceTime(ROUND_MILLIS);

    assertTrue(caller.aborted);
  }

  /** Retries must not be taken from other hosts for a caller who has left. */
  @Test
  void asksNobodyAfterCallerDisconnects() {
    waitForRetry();
    denyRound();
    int before = world.sentCalls.size();
    exchange.onCallerDisconnected();

    world.advanceTime(ROUND_MILLIS);

    assertEquals(0, world.retryLoanRequests.size());
    assertEquals(before, world.sentCalls.size());
  }

  private void failAtFiveTargets(boolean restart) {
    List<TargetDescription> engines = new ArrayList<>();
    for (int number = 1; number <= 7; number++) {
      engines.add(ForwardWorld.target("e" + number, ForwardWorld.ENGINES, "south"));
    }
    world.list(engines.toArray(TargetDescription[]::new));
    startStream();
    for (int attempt = 1; attempt <= 5; attempt++) {
      ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, true);
      call.event(attempt);
      if (restart) {
        world.restart(call.target(), call.target() + "-again");
      }
      world.fail(call, TargetFailure.RESET);
    }
  }

  /** Two data centres' ends used up the attempts of streams that no engine left had tried. */
  @Test
  void executionsAtEndedTargetsAreNotCounted() {
    failAtFiveTargets(true);

    assertFalse(caller.isFinal());
    assertEquals(6, world.sentCalls.size());
  }

  /** The attempts that the configuration allows hold for targets that are still there. */
  @Test
  void executionsAtListedTargetsAreCounted() {
    failAtFiveTargets(false);

    assertTrue(caller.aborted);
    assertEquals(5, world.sentCalls.size());
  }
}
