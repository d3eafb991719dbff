package org.gatereel.core.action;

import java.util.List;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.Measurement;
import org.gatereel.core.event.PolicyVariant;
import org.gatereel.core.generation.EventId;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.platform.TableWrite;
import org.gatereel.core.table.TableEdit;

/** Something that the core wants done; each is answered by events, or by none. */
public sealed interface Action {
  /** Opens the stream of a generation and tells the caller its id. */
  record OpenStream(long caller, EventId id) implements Action {}

  /** Gives the caller one token. */
  record SendToken(long caller, EventId id, String token) implements Action {}

  /** Tells the caller that the answer is whole, and ends the exchange. */
  record EndStream(long caller, EventId id) implements Action {}

  /** Tells the caller what went wrong, in the stream if it is open, and ends the exchange. */
  record SendProblem(long caller, Problem problem) implements Action {}

  /** Ends an exchange that another one replaced, or asks the caller to connect elsewhere. */
  record Disconnect(long caller) implements Action {}

  /** Gives the caller the answer of a plain call. */
  record SendResponse(long caller, int status, String body) implements Action {}

  /** Tells an operator that the edit is accepted. */
  record ConfirmEdit(long caller, TableEdit edit) implements Action {}

  /** Tells an operator that the row has changed meanwhile; {@code present} is the latest edit. */
  record ReportLostRace(long caller, TableEdit present) implements Action {}

  /** Gives an engine the prompt and the accepted tokens. */
  record StartAttempt(
      GenerationSpec spec, int attempt, TargetDescription target, List<String> tokens)
      implements Action {}

  /** Tells an engine to stop an attempt, and takes no more tokens of it. */
  record CancelAttempt(RequestId request, int attempt) implements Action {}

  /** Sends a plain call; nothing is sent again on its own account. */
  record SendCall(
      long ticket,
      TargetDescription target,
      String executionId,
      String body,
      long timeoutMillis,
      int priority)
      implements Action {}

  /** Sends a message to a peer. */
  record SendPeer(HostId peer, PeerMessage message) implements Action {}

  /** Closes the connection to a peer, so that the next message goes over a new one. */
  record CloseConnection(HostId peer) implements Action {}

  /** Asks the platform for a transaction. */
  record Transact(long ticket, List<TableWrite> writes) implements Action {}

  /** Asks the platform for single rows. */
  record ReadRows(long ticket, List<String> keys) implements Action {}

  /** Asks the platform for the rows with a prefix, after a key; in the order of their keys. */
  record ScanRows(long ticket, String prefix, String after) implements Action {}

  /** Puts an entry on the time line and into the log. */
  record LogEvent(EventCode code, String subject, String detail) implements Action {}

  /** Adds a value to the statistics of a service and arm. */
  record RecordMeasurement(
      Measurement measurement, ServiceName service, PolicyVariant arm, long value)
      implements Action {}
}
