package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.junit.jupiter.api.Test;

/** Requests that wait until another host has lent a repeat, or has not. */
class RepeatBorrowingTest {
  private static final int HOSTS = 60;

  private final ForwardWorld world = new ForwardWorld();
  private ForwardWorld.Caller caller;
  private Exchange exchange;

  RepeatBorrowingTest() {
    List<HostDirectory.Entry> entries = new ArrayList<>();
    for (int number = 0; number < HOSTS; number++) {
      entries.add(
          new HostDirectory.Entry(
              "peer" + number, new DataCentre("north"), new Address("10.0.2." + number, 7), 0));
    }
    for (int reading = 0; reading < 3; reading++) {
      world.directory.update(entries, 0);
    }
  }

  /** Has requests fail at their first targets until one waits for a repeat. */
  private void waitForRepeat() {
    while (world.borrowing.isEmpty()) {
      caller = new ForwardWorld.Caller();
      exchange = world.ask("/safe/x", caller).orElseThrow();
      world.fail(world.last().accepted(), TargetFailure.RESET);
      if (world.borrowing.isEmpty()) {
        world.last().answer(200, "whole");
        assertTrue(caller.finished);
      }
      assertTrue(world.sent.size() < 100, "the own part never ends");
    }
  }

  @Test
  void goesOnWithALentRepeat() {
    waitForRepeat();
    int before = world.sent.size();

    world.borrowing.get(0).accept(1);

    assertEquals(before + 1, world.sent.size());
    world.last().answer(200, "whole");
    assertEquals("whole", caller.body.toString());
  }

  @Test
  void endsAtOnceWhenNoneIsLent() {
    waitForRepeat();

    world.borrowing.get(0).accept(0);

    assertEquals(Rejection.TARGET_FAILED, caller.refusal);
  }

  @Test
  void sendsNothingForACallerWhoLeftMeanwhile() {
    waitForRepeat();
    int before = world.sent.size();
    exchange.onCallerDisconnected();

    world.borrowing.get(0).accept(1);

    assertEquals(before, world.sent.size());
    assertNull(caller.refusal);
  }

  @Test
  void endsAtTheDeadlineWhileItWaits() {
    waitForRepeat();

    world.pass(ForwardWorld.TIMEOUT_MILLIS);

    assertEquals(Rejection.TIMED_OUT, caller.refusal);
    world.borrowing.get(0).accept(1);
    assertFalse(caller.finished);
  }

  @Test
  void endsTruthfullyWhenTheHostStopsWhileItWaits() {
    waitForRepeat();

    world.forwarder.stopAll();

    assertEquals(Rejection.TARGET_FAILED, caller.refusal);
  }
}
