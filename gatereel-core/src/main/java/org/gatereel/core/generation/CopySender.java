package org.gatereel.core.generation;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.member.Membership;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.PolicyTable;

/**
 * The owner's side of copying: chooses a holder, feeds it, and replaces it when it is lost.
 *
 * <p>One message is under way for each generation; tokens that come meanwhile go with the next one,
 * so that the number of messages follows the round trip and not the engine.
 */
final class CopySender {
  private static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 250;
  private static final long HOLDER_RETRY_INTERVAL_MILLIS = 1_000;
  private static final int MAX_UNACKNOWLEDGED_SENDS = 2;

  private final CoreContext context;
  private final PolicyTable table;
  private final Membership members;
  private final Consumer<Generation> onProgress;

  CopySender(
      CoreContext context, PolicyTable table, Membership members, Consumer<Generation> progress) {
    this.context = context;
    this.table = table;
    this.members = members;
    this.onProgress = progress;
  }

  /** Looks for a holder and gives it the whole generation so far. */
  void openCopy(Generation generation) {
    Generation.Copy copy = generation.copy;
    Optional<HostId> failed = copy.holder;
    copy.reset();
    copy.holderChosenAt = context.now();
    Optional<HostId> chosen = chooseHolder(generation, failed);
    if (chosen.isEmpty()) {
      continueWithoutCopy(generation);
      return;
    }
    copy.holder = chosen;
    sendAllTokens(generation);
  }

  private Optional<HostId> chooseHolder(Generation generation, Optional<HostId> without) {
    List<HostDescription> reachable =
        members.reachable().stream()
            .filter(peer -> !without.equals(Optional.of(peer.id())))
            .toList();
    return copyPolicy(generation)
        .choose(reachable, context.dataCentre(), context.random())
        .map(HostDescription::id);
  }

  private CopyPolicy copyPolicy(Generation generation) {
    return table
        .service(generation.spec.service())
        .map(row -> row.choice(Column.COPYING, CopyPolicy.class))
        .orElse(CopyPolicy.OTHER_HALL);
  }

  private void continueWithoutCopy(Generation generation) {
    generation.copy.ready = true;
    if (copyPolicy(generation) != CopyPolicy.NONE) {
      context.logEvent(EventCode.COPY_ABSENT, generation.spec.request().value(), "no peer answers");
    }
    onProgress.accept(generation);
  }

  /** Takes over a holder that is known to have the whole generation. */
  void adopt(Generation generation, HostId holder) {
    generation.copy.holder = Optional.of(holder);
    generation.copy.ready = true;
    generation.copy.heldLength = generation.length();
    generation.copy.heldFinished = generation.isFinished();
  }

  /** Sends what the holder lacks, unless a message is under way. */
  void sendPending(Generation generation) {
    Generation.Copy copy = generation.copy;
    if (copy.holder.isEmpty()) {
      retryHolder(generation);
      return;
    }
    boolean lacks =
        copy.heldLength < generation.length() || copy.heldFinished != generation.isFinished();
    if (!copy.awaitingAcknowledgement && lacks) {
      sendMissingTokens(generation);
    }
  }

  private void retryHolder(Generation generation) {
    boolean wanted = copyPolicy(generation) != CopyPolicy.NONE && !generation.endDelivered;
    boolean due = context.now() - generation.copy.holderChosenAt >= HOLDER_RETRY_INTERVAL_MILLIS;
    if (wanted && due && !members.reachable().isEmpty()) {
      openCopy(generation);
    }
  }

  private void sendAllTokens(Generation generation) {
    send(
        generation,
        new PeerMessage.CopyOpen(
            generation.spec, generation.epoch, generation.tokensFrom(0), generation.isFinished()));
  }

  private void sendMissingTokens(Generation generation) {
    int from = generation.copy.heldLength;
    send(
        generation,
        new PeerMessage.CopyAppend(
            generation.spec.request(),
            generation.epoch,
            from,
            generation.tokensFrom(from),
            generation.isFinished()));
  }

  private void send(Generation generation, PeerMessage message) {
    Generation.Copy copy = generation.copy;
    copy.awaitingAcknowledgement = true;
    copy.sentLength = generation.length();
    copy.sentFinished = generation.isFinished();
    context.emit(new Action.SendPeer(copy.holder.orElseThrow(), message));
    copy.stopTimer();
    copy.timer =
        context.schedule(
            ACKNOWLEDGEMENT_TIMEOUT_MILLIS, () -> handleAcknowledgementTimeout(generation));
  }

  private void handleAcknowledgementTimeout(Generation generation) {
    Generation.Copy copy = generation.copy;
    HostId holder = copy.holder.orElseThrow();
    if (!context.isPauseRecent()) {
      copy.unacknowledgedSends++;
    }
    if (copy.unacknowledgedSends >= MAX_UNACKNOWLEDGED_SENDS || !members.isAnswering(holder)) {
      replaceHolder(generation);
    } else if (copy.ready) {
      sendMissingTokens(generation);
    } else {
      sendAllTokens(generation);
    }
  }

  /** Goes over to another holder. */
  void replaceHolder(Generation generation) {
    HostId holder = generation.copy.holder.orElseThrow();
    context.logEvent(EventCode.COPY_LOST, generation.spec.request().value(), holder.value());
    openCopy(generation);
  }

  /** Takes in what the holder says it holds. */
  void handleHeld(HostId from, Generation generation, PeerMessage.CopyHeld held) {
    Generation.Copy copy = generation.copy;
    boolean mine = copy.holder.equals(Optional.of(from)) && held.epoch() == generation.epoch;
    if (!mine || held.length() > generation.length()) {
      return;
    }
    if (!copy.ready) {
      context.logEvent(EventCode.COPY_OPENED, generation.spec.request().value(), from.value());
    }
    copy.ready = true;
    copy.heldLength = Math.max(copy.heldLength, held.length());
    copy.heldFinished |= held.finished();
    // An answer to an earlier message may come late; only one that covers the latest counts.
    if (held.length() >= copy.sentLength && held.finished() == copy.sentFinished) {
      copy.stopTimer();
      copy.awaitingAcknowledgement = false;
      copy.unacknowledgedSends = 0;
    }
    onProgress.accept(generation);
    sendPending(generation);
  }

  /** Gives a holder that was replaced meanwhile the whole generation again. */
  void handleMissing(HostId from, Generation generation) {
    if (generation.copy.holder.equals(Optional.of(from))) {
      generation.copy.ready = false;
      generation.copy.heldLength = 0;
      sendAllTokens(generation);
    }
  }

  /** Lets go of the copy. */
  void drop(Generation generation) {
    generation.copy.stopTimer();
    generation.copy.holder.ifPresent(
        holder ->
            context.emit(
                new Action.SendPeer(
                    holder,
                    new PeerMessage.CopyDrop(generation.spec.request(), generation.epoch))));
  }
}
