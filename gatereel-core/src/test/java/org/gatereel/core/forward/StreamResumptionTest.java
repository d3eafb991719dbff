package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.junit.jupiter.api.Test;

/** Streams that a caller resumes with the id of the last event it received. */
class StreamResumptionTest {
  private static final String WITHOUT_ID = "data: x\n\n";

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();

  /** Guards against repeating an event without an id that precedes the last event of the caller. */
  @Test
  void doesNotForwardEventWithoutIdBeforeStreamReachesLastEventId() {
    world.lastEventId = OptionalLong.of(5);
    world.submit("/stream/x", caller);

    world.lastCall().accept().respondHead(200, true).event(1).text(WITHOUT_ID);

    assertEquals("", caller.body.toString());
  }
}
