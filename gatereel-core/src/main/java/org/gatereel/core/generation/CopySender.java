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
 * Copies the generations of this host to a holder: chooses the holder, sends it the tokens, and
 * replaces it when it does not respond.
 *
 * <p>At most one message per generation is unacknowledged. Tokens that arrive meanwhile are sent
 * together in the next message, so that a generation sends at most one message per round trip.
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
      CoreContext context, PolicyTable table, Membership members, Consumer<Generation> onProgress) {
    this.context = context;
    this.table = table;
    this.members = members;
    this.onProgress = onProgress;
  }

  /** Chooses a holder other than the current one and sends it all accepted tokens. */
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

  private Optional<HostId> chooseHolder(Generation generation, Optional<HostId> excluded) {
    List<HostDescription> reachable =
        members.reachablePeers().stream()
            .filter(peer -> !excluded.equals(Optional.of(peer.id())))
            .toList();
    return copyPolicy(generation)
        .choose(reachable, context.dataCentre(), context.random())
        .map(HostDescription::id);
  }

  private CopyPolicy copyPolicy(Generation generation) {
    return table
        .service(generation.spec.service())
        .map(row -> row.enumValue(Column.COPYING, CopyPolicy.class))
        .orElse(CopyPolicy.OTHER_HALL);
  }

  private void continueWithoutCopy(Generation generation) {
    generation.copy.ready = true;
    if (copyPolicy(generation) != CopyPolicy.NONE) {
      context.logEvent(EventCode.COPY_ABSENT, generation.spec.request().value(), "no peer answers");
    }
    onProgress.accept(generation);
  }

  /** Uses a holder that already has all accepted tokens. */
  void adopt(Generation generation, HostId holder) {
    generation.copy.holder = Optional.of(holder);
    generation.copy.ready = true;
    generation.copy.heldLength = generation.length();
    generation.copy.heldFinished = generation.isFinished();
  }

  /** Sends the tokens that the holder lacks, unless a message is unacknowledged. */
  void sendPending(Generation generation) {
    Generation.Copy copy = generation.copy;
    if (copy.holder.isEmpty()) {
      retryHolder(generation);
      return;
    }
    boolean incomplete =
        copy.heldLength < generation.length() || copy.heldFinished != generation.isFinished();
    if (!copy.awaitingAcknowledgement && incomplete) {
      sendMissingTokens(generation);
    }
  }

  private void retryHolder(Generation generation) {
    boolean copyRequired = copyPolicy(generation) != CopyPolicy.NONE && !generation.endDelivered;
    boolean retryDue =
        context.now() - generation.copy.holderChosenAt >= HOLDER_RETRY_INTERVAL_MILLIS;
    if (copyRequired && retryDue && !members.reachablePeers().isEmpty()) {
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
    if (copy.unacknowledgedSends >= MAX_UNACKNOWLEDGED_SENDS || !members.isResponding(holder)) {
      replaceHolder(generation);
    } else if (copy.ready) {
      sendMissingTokens(generation);
    } else {
      sendAllTokens(generation);
    }
  }

  /** Replaces a holder that does not respond. */
  void replaceHolder(Generation generation) {
    HostId holder = generation.copy.holder.orElseThrow();
    context.logEvent(EventCode.COPY_LOST, generation.spec.request().value(), holder.value());
    openCopy(generation);
  }

  /** Records the length that the holder acknowledges, and sends the tokens that it lacks. */
  void handleHeld(HostId from, Generation generation, PeerMessage.CopyHeld held) {
    Generation.Copy copy = generation.copy;
    boolean current = copy.holder.equals(Optional.of(from)) && held.epoch() == generation.epoch;
    if (!current || held.length() > generation.length()) {
      return;
    }
    if (!copy.ready) {
      context.logEvent(EventCode.COPY_OPENED, generation.spec.request().value(), from.value());
    }
    copy.ready = true;
    copy.heldLength = Math.max(copy.heldLength, held.length());
    copy.heldFinished |= held.finished();
    // A late acknowledgement of an earlier message does not acknowledge the latest one.
    if (held.length() >= copy.sentLength && held.finished() == copy.sentFinished) {
      copy.stopTimer();
      copy.awaitingAcknowledgement = false;
      copy.unacknowledgedSends = 0;
    }
    onProgress.accept(generation);
    sendPending(generation);
  }

  /** Sends all tokens again to a holder that has lost its copy. */
  void handleMissing(HostId from, Generation generation) {
    if (generation.copy.holder.equals(Optional.of(from))) {
      generation.copy.ready = false;
      generation.copy.heldLength = 0;
      sendAllTokens(generation);
    }
  }

  /** Sends the holder the request to remove its copy. */
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
