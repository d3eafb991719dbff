package org.gatereel.proofs.matrix;

import java.util.List;
import org.gatereel.proofs.Oracle;
import org.gatereel.proofs.world.FakeService;
import org.gatereel.proofs.world.Sabotage;
import org.gatereel.proofs.world.StreamCaller;
import org.gatereel.proofs.world.World;

/** Targets leave one after the other while generations go on being asked for. */
final class LeavingScene {
  private static final long BETWEEN = 250;
  private static final int REQUESTS = 60;
  private static final int TOKENS = 20;

  private final World world;

  LeavingScene(long seed, Sabotage sabotage) {
    world = World.ofThreeHalls(seed, 1);
    world.hosts().forEach(host -> host.sabotage(sabotage));
    world.engines().get(0).leave();
    world.services().forEach(FakeService::leave);
    for (int number = 0; number < REQUESTS; number++) {
      StreamCaller caller = new StreamCaller(world, "request " + number, TOKENS);
      caller.ask(world.hosts().get(number % world.hosts().size()));
      world.runUntil(world.now() + BETWEEN);
    }
  }

  List<Oracle.Violation> violations() {
    return world.oracle().violations();
  }
}
