package org.gatereel.core.event;

import java.util.Optional;
import org.gatereel.core.generation.EventId;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.platform.TransactionResult;
import org.gatereel.core.table.RowChange;

/**
 * Something that happened outside the core.
 *
 * <p>{@code caller} is a number that the caller side gives to each open exchange; {@code ticket} is
 * the number of the action that the event answers.
 */
public sealed interface Event {
  /** A caller asks for a generation. */
  record GenerationRequested(
      long caller, String credential, ServiceName service, String prompt, int maximumTokens)
      implements Event {}

  /** A caller asks to go on with a generation after an event. */
  record ResumeRequested(long caller, String credential, EventId after) implements Event {}

  /** A caller asks for a plain call. */
  record CallRequested(
      long caller,
      String credential,
      ServiceName service,
      Optional<String> idempotencyKey,
      String body)
      implements Event {}

  /** The caller's exchange ended. */
  record CallerDisconnected(long caller) implements Event {}

  /** An engine brought a token. */
  record TokenArrived(RequestId request, int attempt, int offset, String token, int load)
      implements Event {}

  /** An engine says that the generation is whole. */
  record AttemptFinished(RequestId request, int attempt, int length) implements Event {}

  /** An attempt ended without finishing. */
  record AttemptFailed(RequestId request, int attempt, TargetFailure failure) implements Event {}

  /** A plain service answered. */
  record CallResponseReceived(long ticket, int status, String body, int load) implements Event {}

  /** A plain call ended without an answer. */
  record CallFailed(long ticket, TargetFailure failure) implements Event {}

  /** The platform's list was read. */
  record HostListReceived(HostList list) implements Event {}

  /** A transaction ended. */
  record TransactionEnded(long ticket, TransactionResult result) implements Event {}

  /** A read ended. */
  record ReadEnded(long ticket, ReadResult result) implements Event {}

  /** A peer sent a message. */
  record PeerMessageReceived(HostId from, PeerMessage message) implements Event {}

  /**
   * A message to a peer could not be delivered, or its connection broke.
   *
   * @param processGone whether the peer's host refused the connection, so that the process that was
   *     there has ended with all it kept in memory
   */
  record PeerUnreachable(HostId peer, boolean processGone) implements Event {}

  /** An operator asks for an edit of the table. */
  record EditRequested(
      long caller, String operator, String editId, RowChange change, long wallClockMillis)
      implements Event {}

  /** The host is to stop once it has finished what it has. */
  record DrainRequested() implements Event {}

  /** A target was seen to answer a health check. */
  record HealthCheckAnswered(TargetId target, int load, boolean leaving) implements Event {}
}
