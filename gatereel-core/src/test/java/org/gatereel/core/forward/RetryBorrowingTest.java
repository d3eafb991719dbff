package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.junit.jupiter.api.Test;

/** Requests that wait for another host to grant a retry token. */
class RetryBorrowingTest {
  private static final int HOSTS = 60;

  private final ForwardWorld world = new ForwardWorld();
  private ForwardWorld.Caller caller;
  private Exchange exchange;

  RetryBorrowingTest() {
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

  /** Fails requests at their first targets until one waits for a retry token. */
  private void waitForRetry() {
    while (world.retryLoanRequests.isEmpty()) {
      caller = new ForwardWorld.Caller();
      exchange = world.submit("/safe/x", caller).orElseThrow();
      world.fail(world.lastCall().accept(), TargetFailure.RESET);
      if (world.retryLoanRequests.isEmpty()) {
        world.lastCall().respond(200, "whole");
        assertTrue(caller.finished);
      }
      assertTrue(world.sentCalls.size() < 100, "local retry budget is never exhausted");
    }
  }

  @Test
  void retriesWithGrantedToken() {
    waitForRetry();
    int before = world.sentCalls.size();

    world.retryLoanRequests.get(0).accept(1);

    assertEquals(before + 1, world.sentCalls.size());
    world.lastCall().respond(200, "whole");
    assertEquals("whole", caller.body.toString());
  }

  @Test
  void failsAtOnceWhenNoTokenIsGranted() {
    waitForRetry();

    world.retryLoanRequests.get(0).accept(0);

    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void sendsNothingAfterCallerDisconnects() {
    waitForRetry();
    int before = world.sentCalls.size();
    exchange.onCallerDisconnected();

    world.retryLoanRequests.get(0).accept(1);

    assertEquals(before, world.sentCalls.size());
    assertNull(caller.rejection);
  }

  @Test
  void failsAtDeadlineWhileWaiting() {
    waitForRetry();

    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS);

    assertEquals(Rejection.TIMED_OUT, caller.rejection);
    world.retryLoanRequests.get(0).accept(1);
    assertFalse(caller.finished);
  }

  @Test
  void reportsPossibleExecutionWhenHostStopsDuringWait() {
    waitForRetry();

    world.forwarder.stopAll();

    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }
}
