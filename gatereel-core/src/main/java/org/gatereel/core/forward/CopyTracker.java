package org.gatereel.core.forward;

import java.util.Optional;
import org.gatereel.core.choice.TargetQuery;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.target.TargetState;

/**
 * Chooses an engine to hold a copy of a stream's memory, and finds that copy after a failure.
 *
 * <p>The executing engine receives the holder's address with the request and copies by itself. If
 * the holder restarts, its new incarnation has a copy only if the stream produced events after
 * that.
 */
final class CopyTracker {
  private final Forwarder forwarder;
  private final ForwardRequest request;
  private final ServiceName service;
  private Optional<TargetState> holder = Optional.empty();
  private Optional<Address> lastHolder = Optional.empty();
  private Optional<Address> leftCopyAddress = Optional.empty();
  private long leftCopyAt;

  CopyTracker(Forwarder forwarder, ForwardRequest request, ServiceName service) {
    this.forwarder = forwarder;
    this.request = request;
    this.service = service;
  }

  /**
   * Chooses a holder for the execution that is about to start at {@code executor}; returns its
   * address.
   */
  Optional<Address> chooseHolder(TargetState executor, TargetQuery query) {
    setHolder(forwarder.selector().chooseCopyHolder(query, executor));
    lastHolder = holder.map(state -> state.description().address());
    return lastHolder;
  }

  /** Returns the address of the holder that was chosen last. */
  Optional<Address> lastHolder() {
    return lastHolder;
  }

  /** Records that an execution failed. Without events it left no usable copy. */
  void onAttemptBroken(Attempt attempt) {
    leftCopyAddress =
        attempt.hasForwardedEvents()
            ? holder.map(state -> state.description().address())
            : Optional.empty();
    leftCopyAt = attempt.lastDataAt();
  }

  /** Returns the copy that the last attempt left, if its holder accepts requests, and clears it. */
  Optional<MemoryCopy> takeCopy() {
    Optional<MemoryCopy> copy =
        leftCopyAddress
            .flatMap(address -> forwarder.targets().findByAddress(service, address))
            .filter(state -> state.firstSeenAt() <= leftCopyAt)
            .filter(forwarder.rollouts().rule(service)::admits)
            .filter(state -> forwarder.backoffs().millisUntilAllowed(state.description().id()) == 0)
            .map(state -> new MemoryCopy(state, request.id()));
    leftCopyAddress = Optional.empty();
    return copy;
  }

  /** Stops counting the copy at its holder. */
  void release() {
    setHolder(Optional.empty());
  }

  private void setHolder(Optional<TargetState> newHolder) {
    holder.ifPresent(state -> state.adjustCopies(-1));
    newHolder.ifPresent(state -> state.adjustCopies(1));
    holder = newHolder;
  }
}
