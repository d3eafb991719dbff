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
 * An input of the core.
 *
 * <p>{@code caller} is the number of an open exchange with a caller; {@code ticket} is the number
 * of the action to which the event belongs.
 */
public sealed interface Event {
  /** A caller requested a generation. */
  record GenerationRequested(
      long caller, String credential, ServiceName service, String prompt, int maximumTokens)
      implements Event {}

  /** A caller requested to resume a generation after an event. */
  record ResumeRequested(long caller, String credential, EventId after) implements Event {}

  /** A caller requested a plain call. */
  record CallRequested(
      long caller,
      String credential,
      ServiceName service,
      Optional<String> idempotencyKey,
      String body)
      implements Event {}

  /** The exchange with a caller ended. */
  record CallerDisconnected(long caller) implements Event {}

  /** An engine sent a token; {@code load} is the number of its open requests. */
  record TokenArrived(RequestId request, int attempt, int offset, String token, int load)
      implements Event {}

  /** An engine finished the generation at {@code length} tokens. */
  record AttemptFinished(RequestId request, int attempt, int length) implements Event {}

  /** An attempt ended without finishing. */
  record AttemptFailed(RequestId request, int attempt, TargetFailure failure) implements Event {}

  /** A plain service responded to a call. */
  record CallResponseReceived(long ticket, int status, String body, int load) implements Event {}

  /** A plain call ended without a response. */
  record CallFailed(long ticket, TargetFailure failure) implements Event {}

  /** The platform's list of hosts and targets was read. */
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
   * @param processGone whether the connection was refused, so that the peer's process has ended and
   *     its memory is lost
   */
  record PeerUnreachable(HostId peer, boolean processGone) implements Event {}

  /** An operator requested an edit of the table. */
  record EditRequested(
      long caller, String operator, String editId, RowChange change, long wallClockMillis)
      implements Event {}

  /** The host must stop after it has finished its open requests. */
  record DrainRequested() implements Event {}

  /** A target responded to a health check. */
  record HealthCheckResponseReceived(TargetId target, int load, boolean leaving) implements Event {}
}
