package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.junit.jupiter.api.Test;

/** Targets that send bytes without end and without progress. */
class EndlessResponseTest {
  private static final int MAX_BUFFERED_BYTES = ForwardPolicy.STANDARD.maxBufferedBytes();
  private static final int STEP_MILLIS = 100;

  private final ForwardWorld world = new ForwardWorld();
  private final CountingCaller caller = new CountingCaller();

  private static final class CountingCaller extends Caller {
    private int writes;
    private int flushes;

    @Override
    public void write(byte[] bytes) {
      writes++;
      super.write(bytes);
    }

    @Override
    public void flush() {
      flushes++;
    }
  }

  private SentCall startStream() {
    world.submit("/stream/x", caller);
    return world.lastCall().accept().respondHead(200, true).event(1).event(2);
  }

  private void answerProbes() {
    while (!world.probes.isEmpty()) {
      world.probes.remove(0).listener().onResult(ProbeResult.ALIVE);
    }
  }

  /** Sends a text every 100 ms to the stream's target, which responds to probes. */
  private void trickle(SentCall call, String text, int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
      world.advanceTime(STEP_MILLIS);
      call.text(text);
      answerProbes();
    }
  }

  private void assertContinuesElsewhere(SentCall first) {
    assertTrue(first.cancelled);
    assertEquals(2, world.sentCalls.size());
    assertFalse(caller.isFinal());
    world.lastCall().accept().respondHead(200, true).event(3);
    assertTrue(caller.body.toString().endsWith(ForwardWorld.eventText(3)));
  }

  /** Guards against an event loop that stands still while it sends each block by itself. */
  @Test
  void manySmallBlocksAreSentTogether() {
    SentCall call = startStream();
    caller.writes = 0;
    caller.flushes = 0;

    call.text("\n".repeat(10_000));
    assertEquals(0, caller.writes);

    call.text(":\n\n".repeat(10_000));
    assertEquals(2, caller.flushes);
  }

  @Test
  void commentsWithoutEndFailTheAttempt() {
    SentCall call = startStream();
    for (int sent = 0; sent <= MAX_BUFFERED_BYTES; sent += 30_000) {
      call.text(":\n\n".repeat(10_000));
    }

    assertContinuesElsewhere(call);
  }

  @Test
  void blankLinesWithoutEndFailTheAttempt() {
    SentCall call = startStream();
    for (int sent = 0; sent <= MAX_BUFFERED_BYTES; sent += 10_000) {
      call.text("\n".repeat(10_000));
    }

    assertContinuesElsewhere(call);
  }

  /** Guards against a stalled stream that is never moved because comments count as progress. */
  @Test
  void streamOfCommentsAloneIsMovedAsAStalledOne() {
    SentCall call = startStream();

    trickle(call, ":\n\n", 4_000);

    assertContinuesElsewhere(call);
  }

  @Test
  void eventThatNeverEndsFailsTheAttempt() {
    SentCall call = startStream();

    trickle(call, "a", 4_000);

    assertContinuesElsewhere(call);
  }

  /** Also before the first event, which the stall detector awaits for as long as it takes. */
  @Test
  void firstEventThatNeverEndsFailsTheAttempt() {
    world.submit("/stream/x", caller);
    SentCall call = world.lastCall().accept().respondHead(200, true);

    trickle(call, "a", 4_000);

    assertTrue(call.cancelled);
    assertEquals(2, world.sentCalls.size());
    assertEquals("", caller.body.toString());
  }

  @Test
  void eventThatPausesForASecondIsForwarded() {
    SentCall call = startStream();
    call.text("id: 3\ndata");
    world.advanceTime(1_200);
    call.text(": x\n\n");

    assertEquals(1, world.sentCalls.size());
    assertTrue(caller.body.toString().endsWith("id: 3\ndata: x\n\n"));
  }

  /** Guards against an error without end that is forwarded although a retry is allowed. */
  @Test
  void errorThatExceedsTheBufferIsRetried() {
    world.submit("/safe/x", caller);
    SentCall call = world.lastCall().accept().respondHead(500, false);

    call.listener.onBody(new byte[MAX_BUFFERED_BYTES + 1]);

    assertTrue(call.cancelled);
    world.lastCall().respond(200, "yes");
    assertEquals("yes", caller.body.toString());
  }
}
