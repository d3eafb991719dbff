package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.gatereel.core.scheduling.SchedulingFeature;
import org.junit.jupiter.api.Test;

/** Where requests of two urgencies are sent. */
class UrgencyForwardingTest {
  private static final long OBJECTIVE_MILLIS = 20_000;

  private final ForwardWorld world = new ForwardWorld(Set.of(SchedulingFeature.URGENCY_ORDER));

  private static Route route(String prefix, int priority) {
    return new Route(
        "route" + prefix,
        "example",
        prefix,
        RouteKind.STREAM,
        true,
        false,
        30_000,
        OBJECTIVE_MILLIS,
        5,
        priority,
        700,
        List.of(new Route.WeightedService(ForwardWorld.ENGINES, 1)));
  }

  /** Guards against a rejection while engines that are kept free for urgent requests are idle. */
  @Test
  void routineRequestUsesKeptEnginesWhenAllOthersRejectIt() {
    world.configurationHolder.update(
        ForwardWorld.configuration(2).add(route("/urgent/", 0)).add(route("/routine/", 2)).build(),
        world.context.now());
    world.submit("/urgent/x", new Caller());
    Set<String> tried = new HashSet<>();

    world.submit("/routine/x", new Caller());
    for (int rejection = 0; rejection < 2; rejection++) {
      SentCall call = world.lastCall();
      tried.add(call.target());
      world.fail(call, TargetFailure.FULL);
    }
    tried.add(world.lastCall().target());

    assertEquals(Set.of("e1", "e2", "e3"), tried);
  }
}
