package org.gatereel.proofs.world;

import java.util.HashSet;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;

/** A plain service that runs whatever it gets, and says so to the oracle. */
public final class FakeService {
  private static final long DELAY = 1;
  private static final long WORK = 5;

  private final World world;
  private final TargetDescription description;
  private final Set<Open> open = new HashSet<>();
  private boolean dead;
  private boolean frozen;

  private record Open(FakeHost host, Action.SendCall send) {}

  FakeService(World world, TargetDescription description) {
    this.world = world;
    this.description = description;
  }

  public TargetId id() {
    return description.id();
  }

  TargetDescription description() {
    return description;
  }

  void send(FakeHost host, Action.SendCall send) {
    Open call = new Open(host, send);
    if (dead) {
      world.after(DELAY, () -> fail(call, TargetFailure.NOT_CONNECTED));
      return;
    }
    world.oracle().newWork(id(), world.now());
    open.add(call);
    world.after(send.timeoutMillis(), () -> end(call, TargetFailure.TIMEOUT));
    world.after(DELAY + WORK, () -> execute(call));
  }

  private void execute(Open call) {
    if (dead || frozen) {
      if (frozen && !dead) {
        world.after(WORK, () -> execute(call));
      }
      return;
    }
    world.oracle().executed(call.send().executionId());
    world.after(DELAY, () -> answer(call));
  }

  private void answer(Open call) {
    if (!dead && open.remove(call)) {
      String body = "ran " + call.send().executionId();
      call.host().receive(new Event.CallResponseReceived(call.send().ticket(), 200, body, 0));
    }
  }

  private void end(Open call, TargetFailure failure) {
    if (open.remove(call)) {
      fail(call, failure);
    }
  }

  private static void fail(Open call, TargetFailure failure) {
    call.host().receive(new Event.CallFailed(call.send().ticket(), failure));
  }

  public void die() {
    dead = true;
    Set<Open> cut = Set.copyOf(open);
    cut.forEach(call -> world.after(DELAY, () -> end(call, TargetFailure.RESET)));
  }

  public void freeze() {
    frozen = true;
  }

  public void thaw() {
    frozen = false;
  }

  public void restart() {
    dead = false;
    frozen = false;
  }

  public void leave() {
    world.platform().listLeaving(id());
    world.oracle().leaving(id(), world.now());
  }
}
