package org.gatereel.core.peer;

import java.util.List;
import java.util.Optional;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.table.TableEdit;

/** A message between entry hosts. */
public sealed interface PeerMessage {
  /** Reports the sender's table revision, whether it is draining, and its draining targets. */
  record Heartbeat(long revision, boolean draining, List<TargetId> leavingTargets)
      implements PeerMessage {}

  /** Requests the peer to hold a copy of a generation, with all tokens accepted so far. */
  record CopyOpen(GenerationSpec spec, int epoch, List<String> tokens, boolean finished)
      implements PeerMessage {}

  /** Appends tokens to a copy; {@code from} is the offset of the first one. */
  record CopyAppend(RequestId request, int epoch, int from, List<String> tokens, boolean finished)
      implements PeerMessage {}

  /** Acknowledges the number of tokens that the sender holds. */
  record CopyHeld(RequestId request, int epoch, int length, boolean finished)
      implements PeerMessage {}

  /** Reports that the generation has another owner with a higher epoch. */
  record CopyFenced(RequestId request, int epoch) implements PeerMessage {}

  /** Reports that the sender has no copy of the generation. */
  record CopyMissing(RequestId request, int epoch) implements PeerMessage {}

  /** Requests the peer to remove a copy. */
  record CopyDrop(RequestId request, int epoch) implements PeerMessage {}

  /** Requests a generation for a caller that has received its tokens up to {@code offset}. */
  record TakeOver(long ticket, RequestId request, AccountId account, int offset, long digest)
      implements PeerMessage {}

  /** Hands over a generation under a new epoch. */
  record TakeOverGranted(
      long ticket, GenerationSpec spec, int epoch, List<String> tokens, boolean finished)
      implements PeerMessage {}

  /** Rejects a request to hand a generation over. */
  record TakeOverRefused(long ticket, TakeoverRefusal reason) implements PeerMessage {}

  /** Requests the peer to write a claim. */
  record ClaimAsk(long ticket, String key, String value) implements PeerMessage {}

  /**
   * Reports the result of a claim.
   *
   * @param present the value of the claim's row; empty if it is unknown
   */
  record ClaimResult(long ticket, Optional<String> present) implements PeerMessage {}

  /** Requests the outcome of a call from the host that wrote its claim. */
  record OutcomeAsk(long ticket, String key, String claimValue) implements PeerMessage {}

  /** Reports the outcome of a call. */
  record OutcomeAnswer(long ticket, CallState state, int status, String body)
      implements PeerMessage {}

  /** Sends edits in the order of their revisions. */
  record EditsPush(List<TableEdit> edits) implements PeerMessage {}

  /** Requests the edits after a revision. */
  record EditsFetch(long haveRevision) implements PeerMessage {}

  /** Sends the whole table to a peer whose revision is too old for single edits. */
  record TablePush(long revision, List<TableEdit> latestEdits) implements PeerMessage {}

  /** Reports a draining target; {@code firstSeenBy} may differ from the sender. */
  record TargetLeaving(TargetId target, HostId firstSeenBy) implements PeerMessage {}
}
