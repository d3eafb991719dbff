package org.gatereel.proofs.matrix;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.action.Action;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.proofs.Promise;
import org.gatereel.proofs.world.CallCaller;
import org.gatereel.proofs.world.FakeHost;
import org.gatereel.proofs.world.FakeService;

/** One call that may not be repeated. */
final class CallScene extends Scene {
  private final List<CallCaller> callers = new ArrayList<>();
  private HostId writer;
  private TargetId target;

  CallScene(long seed) {
    super(seed);
  }

  @Override
  void note(FakeHost host, Action action) {
    if (action instanceof Action.SendCall send) {
      target = send.target().id();
    } else if (action instanceof Action.SendPeer send
        && send.message() instanceof PeerMessage.ClaimAsk) {
      writer = send.peer();
    }
  }

  @Override
  void begin() {
    sendAt(world().hosts().get(0));
  }

  private void sendAt(FakeHost host) {
    CallCaller caller = new CallCaller(world(), "redemption");
    callers.add(caller);
    caller.send(host);
  }

  /** Sends the same key to a host of another data centre while the first call is under way. */
  void sendAgain() {
    List<FakeHost> others =
        world().hosts().stream()
            .filter(host -> !host.isDead() && !host.dataCentre().equals(owner().dataCentre()))
            .toList();
    sendAt(others.get(0));
  }

  FakeHost owner() {
    return callers.get(0).host();
  }

  /** Returns the host that writes the claim. */
  FakeHost writer() {
    return writer == null ? owner() : world().host(writer);
  }

  FakeService target() {
    return target == null ? world().services().get(0) : world().service(target);
  }

  @Override
  boolean isDone() {
    return callers.stream().allMatch(CallCaller::isDone);
  }

  @Override
  void checkEnd(List<String> faults) {
    if (!isDone()) {
      violated(Promise.OWN_ANSWER, "no end: " + callers);
    }
    boolean harmless =
        faults.stream().allMatch(name -> CallFault.valueOf(name).leavesTheCallWhole());
    boolean answered = callers.stream().anyMatch(caller -> caller.answer().isPresent());
    if (harmless && !answered) {
      violated(Promise.OWN_ANSWER, "nobody was answered: " + callers);
    }
  }
}
