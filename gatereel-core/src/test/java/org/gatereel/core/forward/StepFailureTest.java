package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.gatereel.core.scheduling.SchedulingFeature;
import org.junit.jupiter.api.Test;

/** Guards against a request that is left without a response because a step of the host throws. */
class StepFailureTest {
  private static final int MAY_HAVE_RUN = 502;
  private static final int NOT_RUN = 503;

  private final ForwardWorld world = new ForwardWorld();
  private final ForwardWorld.Caller caller = new ForwardWorld.Caller();

  StepFailureTest() {
    world.allowsStepFailures = true;
  }

  private static IllegalStateException failure() {
    return new IllegalStateException("simulated");
  }

  private void failNextSend() {
    world.beforeSend =
        () -> {
          world.beforeSend = () -> {};
          throw failure();
        };
  }

  private void assertRejected(int status) {
    assertEquals(status, caller.rejection.status());
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  @Test
  void rejectsRequestWhoseRouteCannotBeLookedUp() {
    ForwardWorld.Request request = world.request(null);

    assertEquals(Optional.empty(), world.forwarder.accept(request, caller));

    assertRejected(NOT_RUN);
  }

  @Test
  void rejectsRequestWhoseExchangeCannotBeCreated() {
    ForwardWorld.Request valid = world.request("/safe/x");
    ForwardWorld.Request request =
        new ForwardWorld.Request(
            valid.id(),
            valid.hostName(),
            valid.path(),
            valid.key(),
            null,
            OptionalLong.empty(),
            0,
            Optional.empty(),
            "");

    assertEquals(Optional.empty(), world.forwarder.accept(request, caller));

    assertRejected(NOT_RUN);
    world.advanceTime(2 * ForwardWorld.TIMEOUT_MILLIS);
  }

  @Test
  void rejectsRequestThatCannotBeSent() {
    failNextSend();

    world.submit("/once/x", caller);

    assertRejected(NOT_RUN);
    assertEquals(0, openRequestsAtTargets());
  }

  @Test
  void rejectsRequestWhoseResponseHeadCannotBeHandled() {
    world.submit("/once/x", caller);
    ForwardWorld.SentCall call = world.lastCall().accept();

    call.listener.onHead(null);

    assertRejected(MAY_HAVE_RUN);
    assertTrue(call.cancelled);
    assertEquals(0, openRequestsAtTargets());
  }

  @Test
  void rejectsRequestWhoseRetryCannotBeSent() {
    world.submit("/safe/x", caller);
    failNextSend();

    world.lastCall().respond(500, "no");

    assertRejected(MAY_HAVE_RUN);
  }

  @Test
  void abortsStreamThatCannotBeWritten() {
    ForwardWorld.Caller unwritable =
        new ForwardWorld.Caller() {
          @Override
          public void write(byte[] bytes) {
            throw failure();
          }
        };
    world.submit("/stream/x", unwritable);

    world.lastCall().accept().respondHead(200, true).event(1);

    assertTrue(unwritable.aborted);
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  @Test
  void closesConnectionThatCannotBeSentRejection() {
    ForwardWorld.Caller unwritable = new FailingCaller();
    world.submit("/once/x", unwritable);

    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS);

    assertTrue(unwritable.aborted);
    assertEquals(0, world.forwarder.openExchangeCount());
  }

  @Test
  void endsOtherRequestsAtShutdownIfOneThrows() {
    world.submit("/once/x", new FailingCaller());
    world.submit("/once/x", caller);

    world.forwarder.stopAll();

    assertRejected(NOT_RUN);
  }

  @Test
  void movesOtherStreamsOfUnreachableTargetIfOneThrows() {
    ForwardWorld.Caller first = new ForwardWorld.Caller();
    world.list(ForwardWorld.target("e1", ForwardWorld.ENGINES, "north"));
    for (ForwardWorld.Caller each : List.of(first, caller)) {
      world.submit("/stream/x", each);
      world.lastCall().accept().respondHead(200, true).event(1);
    }
    world.list(
        ForwardWorld.target("e1", ForwardWorld.ENGINES, "north"),
        ForwardWorld.target("e2", ForwardWorld.ENGINES, "south"));
    while (world.probes.isEmpty()) {
      world.advanceTime(1);
    }
    failNextSend();

    world.lastProbe().listener().onResult(ProbeResult.UNKNOWN);

    assertTrue(first.aborted);
    assertEquals("e2", world.lastCall().target());
    world.lastCall().accept().respondHead(200, true).event(2);
    assertEquals(ForwardWorld.eventText(1) + ForwardWorld.eventText(2), caller.body.toString());
  }

  @Test
  void sendsOtherRequestsOfPromptLookupIfOneThrows() {
    world.promptPart = Optional.of("part");
    world.lastEventId = OptionalLong.of(7);
    world.submit("/stream/x", caller);
    world.submit("/stream/x", new ForwardWorld.Caller());
    failNextSend();

    world.promptQueries.get(0).response().accept(Optional.of(Set.of("part")));

    assertEquals(NOT_RUN, caller.rejection.status());
    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void answersOtherStreamsThatWaitForRetriesIfOneThrows() {
    ForwardWorld borrowing = new ForwardWorld(Set.of(SchedulingFeature.STREAM_RETRIES));
    borrowing.allowsStepFailures = true;
    ForwardWorld.Caller unwritable = new FailingCaller();
    spendRetries(borrowing);
    resume(borrowing, unwritable);
    resume(borrowing, caller);

    borrowing.advanceTime(ForwardWorld.TIMEOUT_MILLIS);

    assertTrue(unwritable.aborted);
    assertTrue(caller.isFinal());
    assertEquals(0, borrowing.forwarder.openExchangeCount());
  }

  private static void spendRetries(ForwardWorld world) {
    while (world.forwarder.budgets().lend(ForwardWorld.ENGINES, 1) > 0) {}
  }

  private static void resume(ForwardWorld world, ForwardWorld.Caller caller) {
    world.submit("/stream/x", caller);
    world.lastCall().accept().respondHead(500, false);
    world.lastCall().listener.onEnd(ResponseEnd.LAST_CHUNK);
  }

  private long openRequestsAtTargets() {
    return world.targets.all().stream().mapToLong(target -> target.localOpenRequests()).sum();
  }

  /** A caller to whom nothing can be sent. */
  private static final class FailingCaller extends ForwardWorld.Caller {
    @Override
    public void begin(ResponseHead head) {
      throw failure();
    }

    @Override
    public void reject(Rejection reason, long retryAfterMillis) {
      throw failure();
    }
  }
}
