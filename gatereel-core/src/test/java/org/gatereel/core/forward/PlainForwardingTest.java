package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gatereel.core.event.TargetFailure;
import org.junit.jupiter.api.Test;

class PlainForwardingTest {
  private final ForwardWorld world = new ForwardWorld();
  private final ForwardWorld.Caller caller = new ForwardWorld.Caller();

  @Test
  void forwardsCompleteResponse() {
    world.submit("/once/x", caller);

    world.lastCall().respond(200, "body");

    assertEquals(200, caller.status);
    assertEquals("body", caller.body.toString());
    assertTrue(caller.finished);
  }

  @Test
  void shutdownReportsSentRequestAsPossiblyExecuted() {
    world.submit("/once/x", caller);
    world.lastCall().accept();

    world.forwarder.stopAll();

    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void shutdownReportsUnsentRequestAsNotExecuted() {
    world.submit("/once/x", caller);

    world.forwarder.stopAll();

    assertEquals(Rejection.STOPPING, caller.rejection);
  }

  @Test
  void rejectsNewRequestsAfterShutdownAcceptancePeriod() {
    world.forwarder.beginShutdown(world.context.now() + 2_600, world.context.now() + 7_500);
    assertTrue(world.submit("/safe/x", new ForwardWorld.Caller()).isPresent());

    world.advanceTime(2_600);

    assertEquals(Optional.empty(), world.submit("/safe/x", caller));
    assertEquals(Rejection.STOPPING, caller.rejection);
  }

  @Test
  void takesNoStreamWhileStoppingIfItIsNotKnownHowLongStreamsLast() {
    world.forwarder.beginShutdown(world.context.now() + 2_600, world.context.now() + 7_100);

    world.submit("/stream/x", caller);
    assertEquals(Rejection.STOPPING, caller.rejection);
    assertTrue(world.submit("/safe/x", new ForwardWorld.Caller()).isPresent());
  }

  @Test
  void takesNoStreamWhileStoppingThatWouldBeCutOff() {
    world.submit("/stream/x", new ForwardWorld.Caller());
    ForwardWorld.SentCall stream = world.lastCall().accept().respondHead(200, true);
    for (int id = 1; id <= 50; id++) {
      stream.event(id);
      world.advanceTime(100);
    }
    stream.listener.onEnd(ResponseEnd.LAST_CHUNK);
    world.configurationHolder.confirm(1, world.context.now());

    world.forwarder.beginShutdown(world.context.now() + 2_600, world.context.now() + 7_499);

    world.submit("/stream/x", caller);
    assertEquals(Rejection.STOPPING, caller.rejection);
    assertTrue(world.submit("/safe/x", new ForwardWorld.Caller()).isPresent());
  }

  @Test
  void retriesUnsafeRequestOnlyIfItWasNotExecuted() {
    world.submit("/once/x", caller);

    world.fail(world.lastCall(), TargetFailure.NOT_CONNECTED);
    world.lastCall().rejectNotExecuted(503);
    world.lastCall().accept();
    world.fail(world.lastCall(), TargetFailure.RESET);

    assertEquals(3, world.sentCalls.size());
    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void retriesSafeRequestAtOtherTargetAfterError() {
    world.submit("/safe/x", caller);
    ForwardWorld.SentCall first = world.lastCall().respond(500, "no");

    assertNotEquals(first.target(), world.lastCall().target());
    world.lastCall().respond(200, "yes");

    assertEquals(200, caller.status);
    assertEquals("yes", caller.body.toString());
  }

  @Test
  void forwardsFirstErrorWhenSecondTargetFails() {
    world.submit("/safe/x", caller);
    world.lastCall().respond(500, "no");
    world.lastCall().accept();

    world.fail(world.lastCall(), TargetFailure.RESET);

    assertEquals(500, caller.status);
    assertEquals("no", caller.body.toString());
  }

  @Test
  void treatsRequestAsExecutedUnlessTargetDeclaresOtherwise() {
    world.submit("/once/x", caller);

    world.lastCall().respond(503, "full");

    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void reportsTimeoutAtDeadlineIfRequestMayHaveExecuted() {
    world.submit("/once/x", caller);
    world.lastCall().accept();

    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS);

    assertEquals(Rejection.TIMED_OUT, caller.rejection);
  }

  @Test
  void reportsNotStartedAtDeadlineIfRequestWasNeverSent() {
    world.submit("/once/x", caller);

    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS);

    assertEquals(Rejection.NOT_STARTED_IN_TIME, caller.rejection);
  }

  @Test
  void forwardsErrorWhenNoOtherTargetIsAvailable() {
    world.list(ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"));
    world.submit("/safe/x", caller);

    world.lastCall().respond(500, "no");

    assertEquals(500, caller.status);
    assertEquals("no", caller.body.toString());
  }

  @Test
  void stopsRetryingWhenBudgetIsExhausted() {
    ForwardWorld.Caller latest = caller;
    int retries = 0;
    for (int i = 0; i < 100; i++) {
      latest = new ForwardWorld.Caller();
      world.submit("/safe/x", latest);
      int before = world.sentCalls.size();
      world.lastCall().respond(500, "no");
      if (world.sentCalls.size() > before) {
        retries++;
        world.lastCall().respond(200, "yes");
      }
    }

    double allowed = 100 * 0.8 + 150.0 / 16;
    assertTrue(retries <= allowed, "retries: " + retries);
    assertTrue(retries > 60, "retries: " + retries);
  }

  @Test
  void forwardsLongResponseEarlyAndThenNeverRetries() {
    world.submit("/stream/x", caller);
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, false);
    call.listener.onBody(new byte[ForwardPolicy.STANDARD.maxBufferedBytes() + 1]);

    world.fail(call, TargetFailure.RESET);

    assertTrue(caller.aborted);
    assertEquals(1, world.sentCalls.size());
  }

  /** Guards against a connection that is closed without a byte in place of a rejection. */
  @Test
  void rejectsRequestWhoseLongResponseBreaksBeforeAnythingIsSent() {
    ForwardWorld.Caller buffering =
        new ForwardWorld.Caller() {
          @Override
          public boolean hasSent() {
            return false;
          }
        };
    world.submit("/once/x", buffering);
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, false);
    call.listener.onBody(new byte[ForwardPolicy.STANDARD.maxBufferedBytes() + 1]);

    world.fail(call, TargetFailure.RESET);

    assertEquals(Rejection.TARGET_FAILED, buffering.rejection);
  }

  private ForwardWorld.SentCall submitAndCloseAfterBody(String path, int status) {
    world.submit(path, caller);
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(status, false);
    call.listener.onBody("part".getBytes(StandardCharsets.UTF_8));
    call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
    assertFalse(caller.isFinal());
    return call;
  }

  /**
   * Guards against forwarding a partial response as complete when the target exits and its
   * connection closes normally.
   */
  @Test
  void retriesSafeRequestWhenTargetOfClosedConnectionIsGone() {
    ForwardWorld.SentCall first = submitAndCloseAfterBody("/safe/x", 200);

    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertNotEquals(first.target(), world.lastCall().target());
    world.lastCall().respond(200, "whole");
    assertEquals("whole", caller.body.toString());
  }

  @Test
  void failsUnsafeRequestWhenTargetOfClosedConnectionIsGone() {
    submitAndCloseAfterBody("/once/x", 200);

    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void forwardsResponseWithoutLengthAfterSuccessfulProbe() {
    submitAndCloseAfterBody("/once/x", 200);

    world.lastProbe().listener().onResult(ProbeResult.ALIVE);

    assertEquals("part", caller.body.toString());
    assertTrue(caller.finished);
  }

  /** An incomplete error response must not be forwarded either. */
  @Test
  void doesNotForwardErrorWhenTargetIsGone() {
    submitAndCloseAfterBody("/once/x", 500);

    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void doesNotHoldErrorWhenTargetIsGone() {
    submitAndCloseAfterBody("/safe/x", 500);
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    world.lastCall().accept();
    world.fail(world.lastCall(), TargetFailure.RESET);

    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void reportsTimeoutAtDeadlineIfResponseEndIsUnconfirmed() {
    submitAndCloseAfterBody("/once/x", 200);

    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS);

    assertEquals(Rejection.TIMED_OUT, caller.rejection);
    world.lastProbe().listener().onResult(ProbeResult.ALIVE);
    assertFalse(caller.finished);
  }

  /**
   * A busy target may leave probes unanswered although its response is complete; an unsafe request
   * cannot be retried.
   */
  @Test
  void probesBusyTargetUntilItResponds() {
    submitAndCloseAfterBody("/once/x", 200);
    for (int unanswered = 0; unanswered < 4; unanswered++) {
      world.advanceTime(ForwardPolicy.STANDARD.probeTimeoutMillis() << unanswered);
      world.lastProbe().listener().onResult(ProbeResult.UNKNOWN);
      assertFalse(caller.isFinal());
    }
    world.advanceTime(1);

    world.lastProbe().listener().onResult(ProbeResult.ALIVE);

    assertTrue(caller.finished);
    assertEquals(5, world.probes.size());
  }

  /** Guards against a flood of probes when the target resets each of them at once. */
  @Test
  void limitsProbeRateWhenProbesAreReset() {
    submitAndCloseAfterBody("/once/x", 200);
    long startedAt = world.context.now();
    while (world.context.now() - startedAt < 10_000) {
      int before = world.probes.size();
      world.lastProbe().listener().onResult(ProbeResult.UNKNOWN);
      assertEquals(before, world.probes.size());
      while (world.probes.size() == before) {
        world.advanceTime(1);
      }
    }

    assertTrue(world.probes.size() <= 8, world.probes.size() + " probes");
  }

  @Test
  void retriesSafeRequestAfterTwoUnansweredProbes() {
    submitAndCloseAfterBody("/safe/x", 200);
    world.lastProbe().listener().onResult(ProbeResult.UNKNOWN);
    assertEquals(1, world.sentCalls.size());
    world.advanceTime(ForwardPolicy.STANDARD.probeTimeoutMillis());

    world.lastProbe().listener().onResult(ProbeResult.UNKNOWN);

    assertEquals(2, world.sentCalls.size());
    assertEquals(2, world.probes.size());
  }

  /** Guards against cutting a request that must not be repeated at the end of a planned stop. */
  @Test
  void requestThatMayOutlastAPlannedStopIsRefusedIfItMustNotBeRepeated() {
    long now = world.context.now();
    world.forwarder.beginShutdown(now + 2_600, now + ForwardWorld.TIMEOUT_MILLIS - 1);
    ForwardWorld.Caller refused = new ForwardWorld.Caller();
    world.submit("/once/x", refused);
    assertEquals(Rejection.STOPPING, refused.rejection);

    world.submit("/safe/x", new ForwardWorld.Caller());
    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void requestThatEndsBeforeAPlannedStopIsAcceptedIfItMustNotBeRepeated() {
    long now = world.context.now();
    world.forwarder.beginShutdown(now + 2_600, now + ForwardWorld.TIMEOUT_MILLIS);
    world.submit("/once/x", new ForwardWorld.Caller());
    assertEquals(1, world.sentCalls.size());
  }
}
