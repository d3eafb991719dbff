package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.gatereel.core.event.TargetFailure;
import org.junit.jupiter.api.Test;

/** What is taken for the end of a stream, and what may follow its break. */
class StreamEndTest {
  private final ForwardWorld world = new ForwardWorld();
  private final ForwardWorld.Caller caller = new ForwardWorld.Caller();

  private ForwardWorld.SentCall running(long lastEvent) {
    world.ask("/stream/x", caller);
    ForwardWorld.SentCall call = world.last().accepted().head(200, true);
    for (long id = 1; id <= lastEvent; id++) {
      call.event(id);
    }
    return call;
  }

  private ForwardWorld.SentCall resumedAfterABreak() {
    world.fail(running(2), TargetFailure.RESET);
    return world.last();
  }

  private static String eventsUpTo(long last) {
    StringBuilder events = new StringBuilder();
    for (long id = 1; id <= last; id++) {
      events.append(ForwardWorld.eventText(id));
    }
    return events.toString();
  }

  @Test
  void endsABegunStreamWithNoErrorOfTheTargetThatWasToGoOn() {
    for (int status : new int[] {500, 504, 400, 404, 200}) {
      ForwardWorld fresh = new ForwardWorld();
      ForwardWorld.Caller asking = new ForwardWorld.Caller();
      fresh.ask("/stream/x", asking);
      fresh.last().accepted().head(200, true).event(1);
      fresh.fail(fresh.last(), TargetFailure.RESET);

      fresh.last().answer(status, "no event stream");

      assertFalse(asking.isOver(), "status " + status);
      assertEquals(3, fresh.sent.size());
      assertEquals(OptionalLong.of(1), fresh.last().dispatch.lastEventId());
      fresh.last().accepted().head(200, true).event(2).listener.ended(AnswerEnd.LAST_CHUNK);
      assertEquals(eventsUpTo(2), asking.body.toString());
      assertTrue(asking.finished);
    }
  }

  @Test
  void passesNoLongBodyOfAnotherKindOnInsideABegunStream() {
    ForwardWorld.SentCall second = resumedAfterABreak().accepted().head(200, false);

    second.listener.received(new byte[ForwardPolicy.STANDARD.bufferBytes() + 1]);

    assertEquals(eventsUpTo(2), caller.body.toString());
    assertTrue(second.cancelled);
    assertFalse(caller.isOver());
  }

  @Test
  void breaksABegunStreamOffWhenEachTargetAnswersWithAnError() {
    running(2);
    world.fail(world.last(), TargetFailure.RESET);

    while (!caller.isOver()) {
      world.last().answer(500, "error");
    }

    assertTrue(caller.aborted);
    assertEquals(eventsUpTo(2), caller.body.toString());
  }

  @Test
  void breaksABegunStreamOffWhereAnEarlierErrorWasKeptBack() {
    world.ask("/stream/x", caller);
    world.last().answer(500, "kept back");
    world.last().accepted().head(200, true).event(1);
    world.fail(world.last(), TargetFailure.RESET);

    while (!caller.isOver()) {
      world.last().answer(500, "error");
    }

    assertTrue(caller.aborted);
    assertEquals(eventsUpTo(1), caller.body.toString());
  }
}
