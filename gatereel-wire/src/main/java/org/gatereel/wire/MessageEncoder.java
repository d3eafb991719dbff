package org.gatereel.wire;

import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.wire.generated.ClaimAsk;
import org.gatereel.wire.generated.ClaimResult;
import org.gatereel.wire.generated.CopyAppend;
import org.gatereel.wire.generated.CopyDrop;
import org.gatereel.wire.generated.CopyFenced;
import org.gatereel.wire.generated.CopyHeld;
import org.gatereel.wire.generated.CopyMissing;
import org.gatereel.wire.generated.CopyOpen;
import org.gatereel.wire.generated.EditsFetch;
import org.gatereel.wire.generated.EditsPush;
import org.gatereel.wire.generated.Envelope;
import org.gatereel.wire.generated.Heartbeat;
import org.gatereel.wire.generated.Hello;
import org.gatereel.wire.generated.OutcomeAnswer;
import org.gatereel.wire.generated.OutcomeAsk;
import org.gatereel.wire.generated.Spec;
import org.gatereel.wire.generated.TablePush;
import org.gatereel.wire.generated.TakeOver;
import org.gatereel.wire.generated.TakeOverGranted;
import org.gatereel.wire.generated.TakeOverRefused;
import org.gatereel.wire.generated.TargetLeaving;

/** Encodes messages to peers as protobuf. */
public final class MessageEncoder {
  private MessageEncoder() {}

  /** Returns the first message of a connection. */
  public static Envelope hello(HostId self) {
    return Envelope.newBuilder().setHello(Hello.newBuilder().setHost(self.value())).build();
  }

  /** Returns the protobuf message for {@code message}. */
  public static Envelope encode(PeerMessage message) {
    Envelope.Builder envelope = Envelope.newBuilder();
    boolean done =
        encodeCopy(message, envelope)
            || encodeTakeOver(message, envelope)
            || encodeClaim(message, envelope)
            || encodeTable(message, envelope);
    if (!done) {
      throw new IllegalArgumentException("no encoding for " + message.getClass());
    }
    return envelope.build();
  }

  private static boolean encodeCopy(PeerMessage message, Envelope.Builder envelope) {
    if (message instanceof PeerMessage.CopyAppend append) {
      envelope.setCopyAppend(
          CopyAppend.newBuilder()
              .setRequest(append.request().value())
              .setEpoch(append.epoch())
              .setFrom(append.from())
              .addAllTokens(append.tokens())
              .setFinished(append.finished()));
    } else if (message instanceof PeerMessage.CopyHeld held) {
      envelope.setCopyHeld(
          CopyHeld.newBuilder()
              .setRequest(held.request().value())
              .setEpoch(held.epoch())
              .setLength(held.length())
              .setFinished(held.finished()));
    } else if (message instanceof PeerMessage.CopyOpen open) {
      envelope.setCopyOpen(
          CopyOpen.newBuilder()
              .setSpec(spec(open.spec()))
              .setEpoch(open.epoch())
              .addAllTokens(open.tokens())
              .setFinished(open.finished()));
    } else if (message instanceof PeerMessage.CopyFenced fenced) {
      envelope.setCopyFenced(
          CopyFenced.newBuilder().setRequest(fenced.request().value()).setEpoch(fenced.epoch()));
    } else if (message instanceof PeerMessage.CopyMissing missing) {
      envelope.setCopyMissing(
          CopyMissing.newBuilder().setRequest(missing.request().value()).setEpoch(missing.epoch()));
    } else if (message instanceof PeerMessage.CopyDrop drop) {
      envelope.setCopyDrop(
          CopyDrop.newBuilder().setRequest(drop.request().value()).setEpoch(drop.epoch()));
    } else {
      return false;
    }
    return true;
  }

  private static boolean encodeTakeOver(PeerMessage message, Envelope.Builder envelope) {
    if (message instanceof PeerMessage.TakeOver ask) {
      envelope.setTakeOver(
          TakeOver.newBuilder()
              .setTicket(ask.ticket())
              .setRequest(ask.request().value())
              .setAccount(ask.account().value())
              .setOffset(ask.offset())
              .setDigest(ask.digest()));
    } else if (message instanceof PeerMessage.TakeOverGranted granted) {
      envelope.setTakeOverGranted(
          TakeOverGranted.newBuilder()
              .setTicket(granted.ticket())
              .setSpec(spec(granted.spec()))
              .setEpoch(granted.epoch())
              .addAllTokens(granted.tokens())
              .setFinished(granted.finished()));
    } else if (message instanceof PeerMessage.TakeOverRefused refused) {
      envelope.setTakeOverRefused(
          TakeOverRefused.newBuilder()
              .setTicket(refused.ticket())
              .setReason(refused.reason().name()));
    } else {
      return false;
    }
    return true;
  }

  private static boolean encodeClaim(PeerMessage message, Envelope.Builder envelope) {
    if (message instanceof PeerMessage.ClaimAsk ask) {
      envelope.setClaimAsk(
          ClaimAsk.newBuilder().setTicket(ask.ticket()).setKey(ask.key()).setValue(ask.value()));
    } else if (message instanceof PeerMessage.ClaimResult result) {
      ClaimResult.Builder builder = ClaimResult.newBuilder().setTicket(result.ticket());
      result.present().ifPresent(builder::setPresent);
      envelope.setClaimResult(builder);
    } else if (message instanceof PeerMessage.OutcomeAsk ask) {
      envelope.setOutcomeAsk(
          OutcomeAsk.newBuilder()
              .setTicket(ask.ticket())
              .setKey(ask.key())
              .setClaimValue(ask.claimValue()));
    } else if (message instanceof PeerMessage.OutcomeAnswer answer) {
      envelope.setOutcomeAnswer(
          OutcomeAnswer.newBuilder()
              .setTicket(answer.ticket())
              .setState(answer.state().name())
              .setStatus(answer.status())
              .setBody(answer.body()));
    } else {
      return false;
    }
    return true;
  }

  private static boolean encodeTable(PeerMessage message, Envelope.Builder envelope) {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      Heartbeat.Builder builder =
          Heartbeat.newBuilder()
              .setRevision(heartbeat.revision())
              .setDraining(heartbeat.draining());
      heartbeat.leavingTargets().stream().map(TargetId::value).forEach(builder::addLeavingTargets);
      envelope.setHeartbeat(builder);
    } else if (message instanceof PeerMessage.EditsPush push) {
      envelope.setEditsPush(EditsPush.newBuilder().addAllEdits(EditCodec.encode(push.edits())));
    } else if (message instanceof PeerMessage.EditsFetch fetch) {
      envelope.setEditsFetch(EditsFetch.newBuilder().setHaveRevision(fetch.haveRevision()));
    } else if (message instanceof PeerMessage.TablePush push) {
      envelope.setTablePush(
          TablePush.newBuilder()
              .setRevision(push.revision())
              .addAllLatestEdits(EditCodec.encode(push.latestEdits())));
    } else if (message instanceof PeerMessage.TargetLeaving leaving) {
      envelope.setTargetLeaving(
          TargetLeaving.newBuilder()
              .setTarget(leaving.target().value())
              .setFirstSeenBy(leaving.firstSeenBy().value()));
    } else {
      return false;
    }
    return true;
  }

  private static Spec spec(GenerationSpec spec) {
    return Spec.newBuilder()
        .setRequest(spec.request().value())
        .setAccount(spec.account().value())
        .setService(spec.service().value())
        .setPrompt(spec.prompt())
        .setMaximumTokens(spec.maximumTokens())
        .setPriority(spec.priority())
        .build();
  }
}
