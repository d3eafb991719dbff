package org.gatereel.wire;

import java.util.Optional;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.peer.CallState;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.peer.TakeoverRefusal;
import org.gatereel.wire.generated.ClaimResult;
import org.gatereel.wire.generated.CopyAppend;
import org.gatereel.wire.generated.CopyHeld;
import org.gatereel.wire.generated.CopyOpen;
import org.gatereel.wire.generated.Envelope;
import org.gatereel.wire.generated.Heartbeat;
import org.gatereel.wire.generated.OutcomeAnswer;
import org.gatereel.wire.generated.Spec;
import org.gatereel.wire.generated.TakeOver;
import org.gatereel.wire.generated.TakeOverGranted;

/** Decodes messages of peers from protobuf. */
public final class MessageDecoder {
  private MessageDecoder() {}

  /**
   * Returns the message in an envelope.
   *
   * @throws MalformedMessageException if this version does not know the message or a value in it
   */
  public static PeerMessage decode(Envelope envelope) throws MalformedMessageException {
    try {
      return switch (envelope.getMessageCase()) {
        case HEARTBEAT -> heartbeat(envelope.getHeartbeat());
        case COPY_OPEN -> copyOpen(envelope.getCopyOpen());
        case COPY_APPEND -> copyAppend(envelope.getCopyAppend());
        case COPY_HELD -> copyHeld(envelope.getCopyHeld());
        case COPY_FENCED ->
            new PeerMessage.CopyFenced(
                new RequestId(envelope.getCopyFenced().getRequest()),
                envelope.getCopyFenced().getEpoch());
        case COPY_MISSING ->
            new PeerMessage.CopyMissing(
                new RequestId(envelope.getCopyMissing().getRequest()),
                envelope.getCopyMissing().getEpoch());
        case COPY_DROP ->
            new PeerMessage.CopyDrop(
                new RequestId(envelope.getCopyDrop().getRequest()),
                envelope.getCopyDrop().getEpoch());
        case TAKE_OVER -> takeOver(envelope.getTakeOver());
        case TAKE_OVER_GRANTED -> granted(envelope.getTakeOverGranted());
        case TAKE_OVER_REFUSED ->
            new PeerMessage.TakeOverRefused(
                envelope.getTakeOverRefused().getTicket(),
                TakeoverRefusal.valueOf(envelope.getTakeOverRefused().getReason()));
        case CLAIM_ASK ->
            new PeerMessage.ClaimAsk(
                envelope.getClaimAsk().getTicket(),
                envelope.getClaimAsk().getKey(),
                envelope.getClaimAsk().getValue());
        case CLAIM_RESULT -> claimResult(envelope.getClaimResult());
        case OUTCOME_ASK ->
            new PeerMessage.OutcomeAsk(
                envelope.getOutcomeAsk().getTicket(),
                envelope.getOutcomeAsk().getKey(),
                envelope.getOutcomeAsk().getClaimValue());
        case OUTCOME_ANSWER -> outcomeAnswer(envelope.getOutcomeAnswer());
        case EDITS_PUSH ->
            new PeerMessage.EditsPush(EditCodec.decode(envelope.getEditsPush().getEditsList()));
        case EDITS_FETCH -> new PeerMessage.EditsFetch(envelope.getEditsFetch().getHaveRevision());
        case TABLE_PUSH ->
            new PeerMessage.TablePush(
                envelope.getTablePush().getRevision(),
                EditCodec.decode(envelope.getTablePush().getLatestEditsList()));
        case TARGET_LEAVING ->
            new PeerMessage.TargetLeaving(
                new TargetId(envelope.getTargetLeaving().getTarget()),
                new HostId(envelope.getTargetLeaving().getFirstSeenBy()));
        case HELLO, MESSAGE_NOT_SET ->
            throw new MalformedMessageException("unexpected " + envelope.getMessageCase());
      };
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("unknown word in " + envelope.getMessageCase(), e);
    }
  }

  private static PeerMessage heartbeat(Heartbeat heartbeat) {
    return new PeerMessage.Heartbeat(
        heartbeat.getRevision(),
        heartbeat.getDraining(),
        heartbeat.getLeavingTargetsList().stream().map(TargetId::new).toList());
  }

  private static PeerMessage copyOpen(CopyOpen open) {
    return new PeerMessage.CopyOpen(
        spec(open.getSpec()), open.getEpoch(), open.getTokensList(), open.getFinished());
  }

  private static PeerMessage copyAppend(CopyAppend append) {
    return new PeerMessage.CopyAppend(
        new RequestId(append.getRequest()),
        append.getEpoch(),
        append.getFrom(),
        append.getTokensList(),
        append.getFinished());
  }

  private static PeerMessage copyHeld(CopyHeld held) {
    return new PeerMessage.CopyHeld(
        new RequestId(held.getRequest()), held.getEpoch(), held.getLength(), held.getFinished());
  }

  private static PeerMessage takeOver(TakeOver ask) {
    return new PeerMessage.TakeOver(
        ask.getTicket(),
        new RequestId(ask.getRequest()),
        new AccountId(ask.getAccount()),
        ask.getOffset(),
        ask.getDigest());
  }

  private static PeerMessage granted(TakeOverGranted granted) {
    return new PeerMessage.TakeOverGranted(
        granted.getTicket(),
        spec(granted.getSpec()),
        granted.getEpoch(),
        granted.getTokensList(),
        granted.getFinished());
  }

  private static PeerMessage claimResult(ClaimResult result) {
    Optional<String> present =
        result.hasPresent() ? Optional.of(result.getPresent()) : Optional.empty();
    return new PeerMessage.ClaimResult(result.getTicket(), present);
  }

  private static PeerMessage outcomeAnswer(OutcomeAnswer answer) {
    return new PeerMessage.OutcomeAnswer(
        answer.getTicket(),
        CallState.valueOf(answer.getState()),
        answer.getStatus(),
        answer.getBody());
  }

  private static GenerationSpec spec(Spec spec) {
    return new GenerationSpec(
        new RequestId(spec.getRequest()),
        new AccountId(spec.getAccount()),
        new ServiceName(spec.getService()),
        spec.getPrompt(),
        spec.getMaximumTokens(),
        spec.getPriority());
  }
}
