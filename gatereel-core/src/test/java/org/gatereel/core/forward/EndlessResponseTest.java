package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.junit.jupiter.api.Test;

/** Targets that send bytes without end and without progress. */
class EndlessResponseTest {
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
}
