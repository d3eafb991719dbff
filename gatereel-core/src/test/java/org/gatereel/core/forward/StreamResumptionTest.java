package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.junit.jupiter.api.Test;

/** What a caller is given that comes back for the rest of a stream. */
class StreamResumptionTest {
  private static final String WITHOUT_ID = "data: x\n\n";

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();

  /**
   * A caller that had events up to 5 came back, and its target began anew. The events up to 5 were
   * passed over, but one without an id between them was given to the caller again, before event 6.
   */
  @Test
  void getsNoEventWithoutIdOfARunThatIsStillBehindIt() {
    world.lastEventId = OptionalLong.of(5);
    world.submit("/stream/x", caller);

    world.lastCall().accept().respondHead(200, true).event(1).text(WITHOUT_ID);

    assertEquals("", caller.body.toString());
  }
}
