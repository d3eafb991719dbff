package org.gatereel.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.peer.CallState;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.peer.TakeoverRefusal;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;
import org.gatereel.core.table.TableEdit;
import org.gatereel.wire.generated.Envelope;
import org.gatereel.wire.generated.TakeOverRefused;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class MessageCodecTest {
  private static final RequestId REQUEST = new RequestId("4be2");
  private static final GenerationSpec SPEC =
      new GenerationSpec(REQUEST, new AccountId("a"), new ServiceName("s"), "prompt \u0d05", 10, 5);

  static Stream<PeerMessage> messages() {
    TableEdit edit =
        new TableEdit(
            new Row(
                new RowKey(RowKind.SERVICE, "s"), 7, false, new TreeMap<>(Map.of("kind", "call"))),
            "id",
            "asha",
            99);
    return Stream.of(
        new PeerMessage.Heartbeat(7, true, List.of(new TargetId("t"))),
        new PeerMessage.CopyOpen(SPEC, 2, List.of("x", ""), true),
        new PeerMessage.CopyAppend(REQUEST, 2, 5, List.of("y"), false),
        new PeerMessage.CopyHeld(REQUEST, 2, 6, true),
        new PeerMessage.CopyFenced(REQUEST, 3),
        new PeerMessage.CopyMissing(REQUEST, 3),
        new PeerMessage.CopyDrop(REQUEST, 3),
        new PeerMessage.TakeOver(-5, REQUEST, new AccountId("a"), 6, -1),
        new PeerMessage.TakeOverGranted(-5, SPEC, 3, List.of("x"), false),
        new PeerMessage.TakeOverRefused(-5, TakeoverRefusal.OTHER_PREFIX),
        new PeerMessage.ClaimAsk(1, "claim/k", "v"),
        new PeerMessage.ClaimResult(1, Optional.of("v")),
        new PeerMessage.ClaimResult(1, Optional.empty()),
        new PeerMessage.OutcomeAsk(1, "claim/k", "v"),
        new PeerMessage.OutcomeAnswer(1, CallState.ANSWERED, 200, "body"),
        new PeerMessage.EditsPush(List.of(edit)),
        new PeerMessage.EditsFetch(6),
        new PeerMessage.TablePush(7, List.of(edit)),
        new PeerMessage.TargetLeaving(new TargetId("t"), new HostId("h")));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void whatIsEncodedIsDecoded(PeerMessage message) throws Exception {
    byte[] bytes = MessageEncoder.encode(message).toByteArray();
    assertEquals(message, MessageDecoder.decode(Envelope.parseFrom(bytes)));
  }

  @Test
  void everyKindOfMessageIsAmongTheExamples() {
    long kinds = messages().map(Object::getClass).distinct().count();
    assertEquals(PeerMessage.class.getPermittedSubclasses().length, kinds);
  }

  @Test
  void aWordThatThisVersionDoesNotKnowIsATypedFailure() {
    Envelope envelope =
        Envelope.newBuilder()
            .setTakeOverRefused(TakeOverRefused.newBuilder().setReason("OF_LATER_DAYS"))
            .build();
    assertThrows(MalformedMessageException.class, () -> MessageDecoder.decode(envelope));
    assertThrows(
        MalformedMessageException.class,
        () -> MessageDecoder.decode(Envelope.getDefaultInstance()));
  }
}
