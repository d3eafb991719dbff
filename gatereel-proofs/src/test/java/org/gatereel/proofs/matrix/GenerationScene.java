package org.gatereel.proofs.matrix;

import java.util.List;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.proofs.Promise;
import org.gatereel.proofs.world.FakeEngine;
import org.gatereel.proofs.world.FakeHost;
import org.gatereel.proofs.world.StreamCaller;

/** One generation of forty tokens. */
final class GenerationScene extends Scene {
  static final int TOKENS = 40;

  private final StreamCaller caller = new StreamCaller(world(), "a long ledger", TOKENS);
  private HostId holder;
  private TargetId engine;

  GenerationScene(long seed) {
    super(seed);
  }

  @Override
  void note(FakeHost host, Action action) {
    if (action instanceof Action.StartAttempt start) {
      engine = start.target().id();
    } else if (action instanceof Action.SendPeer send
        && send.message() instanceof PeerMessage.CopyOpen) {
      holder = send.peer();
    }
  }

  @Override
  void begin() {
    caller.ask(world().hosts().get(0));
  }

  StreamCaller caller() {
    return caller;
  }

  FakeHost owner() {
    return caller.host();
  }

  FakeHost holder() {
    return holder == null ? null : world().host(holder);
  }

  /** Returns the engine at work, or any while none is. */
  FakeEngine engine() {
    return engine == null ? world().engines().get(0) : world().engine(engine);
  }

  @Override
  boolean isDone() {
    return caller.isDone();
  }

  @Override
  void checkEnd(List<String> faults) {
    boolean lost =
        caller
            .problem()
            .map(problem -> problem.type() == ProblemType.GENERATION_LOST)
            .orElse(false);
    boolean mayBeLost = GenerationFault.mayLose(Set.copyOf(faults));
    if (!caller.isWhole() && !(lost && mayBeLost)) {
      violated(Promise.STREAM_WHOLE, caller.toString());
    }
    boolean drained = faults.equals(List.of(GenerationFault.OWNER_DRAINS.name()));
    if (drained && caller.connections() > 1) {
      violated(Promise.STOP_CUTS_NOTHING, "the caller had to connect again");
    }
  }
}
