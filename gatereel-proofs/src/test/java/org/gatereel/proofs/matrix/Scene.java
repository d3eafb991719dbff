package org.gatereel.proofs.matrix;

import java.util.List;
import org.gatereel.core.action.Action;
import org.gatereel.proofs.Oracle;
import org.gatereel.proofs.Promise;
import org.gatereel.proofs.world.FakeHost;
import org.gatereel.proofs.world.World;

/** One request or edit in a world of its own, to which faults happen. */
abstract class Scene {
  static final long HEAL = 4_000;
  static final long LONGEST = 90_000;
  private static final int HOSTS_IN_HALL = 2;

  private final World world;

  Scene(long seed) {
    world = World.ofThreeHalls(seed, HOSTS_IN_HALL);
    world.watch(this::note);
  }

  World world() {
    return world;
  }

  /** Remembers who plays which part. */
  abstract void note(FakeHost host, Action action);

  /** Starts the request or edit. */
  abstract void begin();

  abstract boolean isDone();

  /** Checks what has to hold at the end, beside what the oracle checks all the time. */
  abstract void checkEnd(List<String> faults);

  void violated(Promise promise, String detail) {
    world.oracle().violated(promise, detail);
  }

  List<Oracle.Violation> violations() {
    return world.oracle().violations();
  }

  /** Has something healed after a while. */
  void later(Runnable heal) {
    world.after(HEAL, heal);
  }

  void pauseFor(FakeHost host) {
    if (host != null && !host.isDead()) {
      host.pause();
      later(host::wake);
    }
  }

  static void kill(FakeHost host) {
    if (host != null && !host.isDead()) {
      host.kill();
    }
  }
}
