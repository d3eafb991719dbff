package org.gatereel.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.forward.log.ForwardLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against steps and timers that are not run because another one throws. */
class ControlThreadTest {
  private final ForwardLog log = new ForwardLog("test");
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final CoreContext context =
      new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
  private final ControlThread control = new ControlThread(channel.eventLoop(), context, log);
  private final List<String> done = new ArrayList<>();

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
    log.close();
  }

  private static void fail() {
    throw new IllegalStateException("simulated");
  }

  @Test
  void runsTimersAfterStepThatThrows() {
    control.run(
        () -> {
          context.schedule(0, ControlThreadTest::fail);
          context.schedule(0, () -> done.add("timer"));
          fail();
        });

    assertEquals(List.of("timer"), done);
  }

  @Test
  void continuesStepAfterNestedStepThatThrows() {
    control.run(
        () -> {
          control.run(ControlThreadTest::fail);
          done.add("outer");
        });

    assertEquals(List.of("outer"), done);
  }

  @Test
  void runsTimersAfterError() {
    assertThrows(
        StackOverflowError.class,
        () ->
            control.run(
                () -> {
                  context.schedule(0, () -> done.add("timer"));
                  throw new StackOverflowError("simulated");
                }));

    channel.runPendingTasks();

    assertEquals(List.of("timer"), done);
  }
}
