package org.gatereel.core.forward;

import java.util.Optional;
import org.gatereel.core.choice.TargetQuery;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.target.TargetState;

/**
 * Sees to it that a running stream has a copy of its memory at another engine.
 *
 * <p>The runner is told a holder when the run begins and copies to it by itself. The holder is
 * known by its address: if it restarts meanwhile, its next run holds nothing of before, and has a
 * copy only if the runner went on making events.
 */
final class CopyPlan {
  private final Forwarder forwarder;
  private final ForwardRequest request;
  private final ServiceName service;
  private Optional<TargetState> holder = Optional.empty();
  private Optional<Address> left = Optional.empty();
  private long leftAt;

  CopyPlan(Forwarder forwarder, ForwardRequest request, ServiceName service) {
    this.forwarder = forwarder;
    this.request = request;
    this.service = service;
  }

  /** Chooses a holder for a run that is about to begin at {@code runner}. */
  Optional<Address> begin(TargetState runner, TargetQuery query) {
    hold(forwarder.selector().chooseCopyHolder(query, runner));
    return holder.map(state -> state.description().address());
  }

  /** Notes that a run broke. One that made no event has not left a copy that can be used. */
  void attemptBroke(Attempt run) {
    left = run.hasEvents() ? holder.map(state -> state.description().address()) : Optional.empty();
    leftAt = run.lastSignAt();
  }

  /** Takes the copy that the last attempt left behind, if its holder takes requests; once. */
  Optional<MemoryCopy> take() {
    Optional<MemoryCopy> taken =
        left.flatMap(address -> forwarder.targets().findByAddress(service, address))
            .filter(state -> state.firstSeenAt() <= leftAt)
            .filter(forwarder.rollouts().rule(service)::admits)
            .filter(state -> forwarder.rests().millisUntilAllowed(state.description().id()) == 0)
            .map(state -> new MemoryCopy(state, request.id()));
    left = Optional.empty();
    return taken;
  }

  /** Counts the copy no longer. */
  void stop() {
    hold(Optional.empty());
  }

  private void hold(Optional<TargetState> next) {
    holder.ifPresent(state -> state.adjustCopies(-1));
    next.ifPresent(state -> state.adjustCopies(1));
    holder = next;
  }
}
