package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetState;
import org.junit.jupiter.api.Test;

/**
 * Target selection when targets of a data centre fail and the host has few observations of its own.
 */
class FailingDataCentreTest {
  private final ForwardWorld world = new ForwardWorld();
  private final ForwardWorld.Caller caller = new ForwardWorld.Caller();

  private void list(int north, int south) {
    List<TargetDescription> targets = new ArrayList<>();
    for (int index = 0; index < north; index++) {
      targets.add(ForwardWorld.target("n" + index, ForwardWorld.ENGINES, "north"));
    }
    for (int index = 0; index < south; index++) {
      targets.add(ForwardWorld.target("s" + index, ForwardWorld.ENGINES, "south"));
    }
    world.list(targets.toArray(TargetDescription[]::new));
  }

  @Test
  void choosesFailingDataCentreWithFewerFailures() {
    list(8, 8);
    recordFailure("n0");
    recordFailure("n1");
    recordFailure("s0");

    assertEquals("s", submitRequest().target().substring(0, 1));
  }

  private ForwardWorld.SentCall submitRequest() {
    world.submit("/stream/x", new ForwardWorld.Caller());
    return world.lastCall();
  }

  private void recordFailure(String name) {
    TargetState target = world.targets.find(new TargetId(name)).orElseThrow();
    world.targets.recordFailure(target, TargetFailure.NOT_CONNECTED);
  }

  @Test
  void targetRestartedUnderOtherIdCountsAgainstItsDataCentre() {
    list(8, 8);
    world.submit("/stream/x", caller);
    assertEquals("n", world.lastCall().target().substring(0, 1));

    world.lastCall().rejectNotExecuted(421);

    assertEquals("s", world.lastCall().target().substring(0, 1));
  }

  @Test
  void leavingTargetDoesNotCountAgainstItsDataCentre() {
    list(8, 8);
    world.targets.recordLeaving(new TargetId("n0"));

    assertEquals("n", submitRequest().target().substring(0, 1));
  }

  @Test
  void unreachableTargetsDoNotFailRequestEarly() {
    list(14, 0);
    world.submit("/stream/x", caller);

    for (int failure = 0; failure < 13; failure++) {
      world.fail(world.lastCall(), TargetFailure.NOT_CONNECTED);
    }

    assertNull(caller.rejection);
    assertEquals(14, world.sentCalls.size());
  }

  @Test
  void rejectionsByTargetsFailRequestAfterMaxAttempts() {
    list(14, 0);
    world.submit("/stream/x", caller);

    for (int rejection = 0; rejection < 8; rejection++) {
      world.lastCall().rejectNotExecuted(503);
    }

    assertTrue(caller.isFinal());
    assertEquals(8, world.sentCalls.size());
  }
}
