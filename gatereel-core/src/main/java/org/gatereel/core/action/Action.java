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

/** An output of the core, which its driver executes. Some actions result in an {@code Event}. */
public sealed interface Action {
  /** Opens the stream of a generation and sends the caller its event id. */
  record OpenStream(long caller, EventId id) implements Action {}

  /** Sends the caller one token. */
  record SendToken(long caller, EventId id, String token) implements Action {}

  /** Sends the caller the end of its stream, and ends the exchange. */
  record EndStream(long caller, EventId id) implements Action {}

  /** Sends the caller a problem, in the stream if it is open, and ends the exchange. */
  record SendProblem(long caller, Problem problem) implements Action {}

  /** Ends an exchange that a later one replaced, or whose generation has another owner. */
  record Disconnect(long caller) implements Action {}

  /** Sends the caller the response of a plain call. */
  record SendResponse(long caller, int status, String body) implements Action {}

  /** Reports to an operator that the edit was accepted. */
  record ConfirmEdit(long caller, TableEdit edit) implements Action {}

  /** Reports a conflict to an operator; {@code present} is the latest edit of the row. */
  record ReportLostRace(long caller, TableEdit present) implements Action {}

  /** Sends an engine the prompt and the accepted tokens. */
  record StartAttempt(
      GenerationSpec spec, int attempt, TargetDescription target, List<String> tokens)
      implements Action {}

  /** Cancels an attempt at its engine and ignores its further tokens. */
  record CancelAttempt(RequestId request, int attempt) implements Action {}

  /** Sends a plain call once, without retries. */
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

  /** Starts a transaction at the platform. */
  record Transact(long ticket, List<TableWrite> writes) implements Action {}

  /** Reads single rows from the platform. */
  record ReadRows(long ticket, List<String> keys) implements Action {}

  /** Reads the rows whose keys have a prefix and follow {@code after}, in the order of keys. */
  record ScanRows(long ticket, String prefix, String after) implements Action {}

  /** Writes an entry to the timeline and the log. */
  record LogEvent(EventCode code, String subject, String detail) implements Action {}

  /** Records a value in the statistics of a service and policy variant. */
  record RecordMeasurement(
      Measurement measurement, ServiceName service, PolicyVariant arm, long value)
      implements Action {}
}
