package org.gatereel.core.generation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.admission.Admission;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.PolicyVariant;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.member.Membership;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.peer.TakeoverRefusal;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.table.Row;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * The generations that this host owns. Accepts tokens from engines, copies them to a holder, and
 * releases them to the caller once they are held.
 */
public final class GenerationOwner {
  private static final long DELIVERED_EXPIRY_TIMEOUT_MILLIS = 30_000;
  private static final long CALLER_RETURN_TIMEOUT_MILLIS = 30_000;
  private static final long SUSPENDED_EXPIRY_TIMEOUT_MILLIS = 150_000;
  private static final long INTERRUPTED_RETRY_DELAY_MILLIS = 2_000;

  private final CoreContext context;
  private final Map<RequestId, Generation> generations = new HashMap<>();
  private final Map<Long, Generation> byCaller = new HashMap<>();
  private final AttemptRunner attempts;
  private final CopySender copies;
  private final Runnable onTargetFreed;

  public GenerationOwner(
      CoreContext context,
      PolicyTable table,
      TargetRegistry targets,
      Membership members,
      RetryBudgets budgets,
      Runnable targetFreed) {
    this.context = context;
    this.onTargetFreed = targetFreed;
    this.copies = new CopySender(context, table, members, this::release);
    this.attempts =
        new AttemptRunner(
            context, table, targets, budgets, this::handleProgress, this::interrupt, targetFreed);
    targets.onLeaving(this::moveAwayFrom);
    members.onLost(this::handlePeerLost);
  }

  /** Starts a new generation at {@code target}. */
  void start(
      GenerationSpec spec,
      PolicyVariant variant,
      long caller,
      long requestedAt,
      Admission.Permit permit,
      TargetState target) {
    Generation generation = new Generation(spec, variant, 1, List.of(), false, requestedAt);
    generation.permit = permit;
    generations.put(spec.request(), generation);
    attach(generation, caller);
    context.logEvent(EventCode.GENERATION_ACCEPTED, spec.request().value(), spec.account().value());
    copies.openCopy(generation);
    attempts.startAt(generation, target);
  }

  /** Becomes the owner of a generation that another host owned. */
  void adopt(
      CopyStore.Handover handover,
      Optional<HostId> holder,
      Row service,
      long caller,
      EventId after) {
    Generation stale = generations.get(handover.spec().request());
    if (stale != null) {
      fence(stale);
    }
    Generation generation =
        new Generation(
            handover.spec(),
            RequestPlacement.variant(service, handover.spec().request()),
            handover.epoch(),
            handover.tokens(),
            handover.finished(),
            context.now());
    generation.seekTo(after.offset(), after.digest());
    generation.streamOpened = true;
    generation.resumingSince = context.now();
    generations.put(handover.spec().request(), generation);
    attach(generation, caller);
    context.logEvent(
        EventCode.TAKEOVER_DONE,
        handover.spec().request().value(),
        "epoch " + handover.epoch() + ", " + generation.length() + " tokens");
    generation.setLastTarget(after.target());
    openStream(generation);
    if (holder.isPresent()) {
      copies.adopt(generation, holder.get());
    } else {
      copies.openCopy(generation);
    }
    if (!generation.isFinished()) {
      attempts.resume(generation, Optional.of(after.target()), Set.of());
    }
    release(generation);
  }

  /** Returns why this host cannot hand over a generation; empty if it can. */
  Optional<TakeoverRefusal> takeoverRefusal(
      RequestId request, AccountId account, int offset, long digest) {
    Generation generation = generations.get(request);
    if (generation == null) {
      return Optional.of(TakeoverRefusal.MISSING);
    }
    if (!generation.spec.account().equals(account)) {
      return Optional.of(TakeoverRefusal.WRONG_ACCOUNT);
    }
    return generation.hasPrefix(offset, digest)
        ? Optional.empty()
        : Optional.of(TakeoverRefusal.OTHER_PREFIX);
  }

  /** Resumes a generation that this host owns after a caller reconnected to it. */
  void reattach(EventId after, long caller) {
    Generation generation = generations.get(after.request());
    long formerCaller = generation.caller;
    if (formerCaller != Generation.NO_CALLER) {
      byCaller.remove(formerCaller);
      context.emit(new Action.Disconnect(formerCaller));
    }
    generation.seekTo(after.offset(), after.digest());
    generation.endDelivered = false;
    generation.streamOpened = true;
    cancelExpiry(generation);
    attach(generation, caller);
    context.logEvent(EventCode.CALLER_RESUMED, after.request().value(), "after " + after.offset());
    openStream(generation);
    boolean idle = generation.attempts.isEmpty() && !generation.isFinished();
    if (idle) {
      generation.noTargetSince = 0;
      attempts.resume(generation, generation.lastTarget(), Set.of());
    }
    release(generation);
  }

  private void openStream(Generation generation) {
    context.emit(new Action.OpenStream(generation.caller, generation.eventId(context.self())));
  }

  /** Gives up ownership and returns the state, which is then held nowhere else on this host. */
  CopyStore.Handover relinquish(RequestId request) {
    Generation generation = generations.get(request);
    CopyStore.Handover handover =
        new CopyStore.Handover(
            generation.spec, generation.epoch, generation.tokensFrom(0), generation.isFinished());
    fence(generation);
    return handover;
  }

  private void attach(Generation generation, long caller) {
    generation.caller = caller;
    byCaller.put(caller, generation);
  }

  public void handleToken(Event.TokenArrived event) {
    find(event.request()).ifPresent(generation -> attempts.handleToken(generation, event));
  }

  public void handleAttemptFinished(Event.AttemptFinished event) {
    find(event.request()).ifPresent(generation -> attempts.handleFinished(generation, event));
  }

  public void handleAttemptFailed(Event.AttemptFailed event) {
    find(event.request())
        .ifPresent(
            generation -> attempts.handleFailed(generation, event.attempt(), event.failure()));
  }

  private Optional<Generation> find(RequestId request) {
    return Optional.ofNullable(generations.get(request));
  }

  private void handleProgress(Generation generation) {
    copies.sendPending(generation);
    release(generation);
  }

  /** Sends the caller the tokens, and the end, that may be released. */
  private void release(Generation generation) {
    if (generation.caller == Generation.NO_CALLER || !generation.copy.ready) {
      return;
    }
    if (!generation.streamOpened) {
      generation.streamOpened = true;
      openStream(generation);
    }
    while (generation.releasedLength() < generation.releasable()) {
      String token = generation.releaseNext();
      EventId id = generation.eventId(context.self());
      context.emit(new Action.SendToken(generation.caller, id, token));
    }
    if (generation.isEndReleasable() && !generation.endDelivered) {
      deliverEnd(generation);
    }
  }

  private void deliverEnd(Generation generation) {
    generation.endDelivered = true;
    context.emit(new Action.EndStream(generation.caller, generation.eventId(context.self())));
    context.logEvent(
        EventCode.GENERATION_DELIVERED,
        generation.spec.request().value(),
        generation.length() + " tokens");
    detach(generation);
    generation.expiryTimer =
        context.schedule(DELIVERED_EXPIRY_TIMEOUT_MILLIS, () -> expire(generation));
  }

  private void detach(Generation generation) {
    byCaller.remove(generation.caller);
    generation.caller = Generation.NO_CALLER;
    closePermit(generation);
  }

  private void closePermit(Generation generation) {
    if (generation.permit != null) {
      generation.permit.close();
      generation.permit = null;
      onTargetFreed.run();
    }
  }

  private void interrupt(Generation generation) {
    context.logEvent(
        EventCode.GENERATION_INTERRUPTED,
        generation.spec.request().value(),
        generation.length() + " tokens so far");
    if (generation.caller != Generation.NO_CALLER) {
      context.emit(
          new Action.SendProblem(
              generation.caller,
              new Problem(
                  ProblemType.NO_TARGET,
                  Outcome.RAN,
                  "no engine could go on; resume with the last event id",
                  INTERRUPTED_RETRY_DELAY_MILLIS)));
      detach(generation);
    }
    generation.expiryTimer =
        context.schedule(SUSPENDED_EXPIRY_TIMEOUT_MILLIS, () -> expire(generation));
  }

  /** Detaches a disconnected caller; returns whether it received a generation of this host. */
  public boolean handleCallerDisconnected(long caller) {
    Generation generation = byCaller.get(caller);
    if (generation == null) {
      return false;
    }
    context.logEvent(
        EventCode.CALLER_GONE,
        generation.spec.request().value(),
        "after " + generation.releasedLength() + " tokens");
    detach(generation);
    generation.expiryTimer =
        context.schedule(CALLER_RETURN_TIMEOUT_MILLIS, () -> suspend(generation));
    return true;
  }

  /** Cancels the attempts of a generation without a caller but keeps its tokens. */
  private void suspend(Generation generation) {
    attempts.cancelAll(generation);
    generation.expiryTimer =
        context.schedule(SUSPENDED_EXPIRY_TIMEOUT_MILLIS, () -> expire(generation));
  }

  private void expire(Generation generation) {
    copies.drop(generation);
    remove(generation);
  }

  private void remove(Generation generation) {
    attempts.cancelAll(generation);
    generation.copy.stopTimer();
    cancelExpiry(generation);
    detach(generation);
    generations.remove(generation.spec.request(), generation);
  }

  private static void cancelExpiry(Generation generation) {
    if (generation.expiryTimer != null) {
      generation.expiryTimer.cancel();
      generation.expiryTimer = null;
    }
  }

  /** Removes a generation that has another owner. */
  private void fence(Generation generation) {
    context.logEvent(
        EventCode.OWNER_FENCED, generation.spec.request().value(), "was epoch " + generation.epoch);
    if (generation.caller != Generation.NO_CALLER) {
      context.emit(new Action.Disconnect(generation.caller));
    }
    remove(generation);
  }

  /** Gives up a generation if the message has a higher epoch. */
  public void handleFenced(PeerMessage.CopyFenced message) {
    find(message.request())
        .filter(generation -> message.epoch() > generation.epoch)
        .ifPresent(this::fence);
  }

  public void handleHeld(HostId from, PeerMessage.CopyHeld message) {
    find(message.request()).ifPresent(generation -> copies.handleHeld(from, generation, message));
  }

  public void handleMissing(HostId from, PeerMessage.CopyMissing message) {
    find(message.request())
        .filter(generation -> generation.epoch == message.epoch())
        .ifPresent(generation -> copies.handleMissing(from, generation));
  }

  private void handlePeerLost(HostId peer) {
    for (Generation generation : List.copyOf(generations.values())) {
      if (generation.copy.holder.equals(Optional.of(peer))) {
        copies.replaceHolder(generation);
      }
    }
  }

  private void moveAwayFrom(TargetState target) {
    List.copyOf(generations.values())
        .forEach(generation -> attempts.moveAwayFrom(generation, target));
  }

  /** Returns the number of generations with a connected caller. */
  public int openCount() {
    return byCaller.size();
  }

  /** Returns the number of generations, including delivered ones that have not expired. */
  public int size() {
    return generations.size();
  }
}
