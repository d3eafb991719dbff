package org.gatereel.core.peer;

import java.util.List;
import java.util.Optional;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.table.TableEdit;

/** What entry hosts say to each other. */
public sealed interface PeerMessage {
  /** The sender lives; it has this table revision in force and these targets leaving. */
  record Heartbeat(long revision, boolean draining, List<TargetId> leavingTargets)
      implements PeerMessage {}

  /** Asks the peer to hold a copy of a generation, with all its tokens so far. */
  record CopyOpen(GenerationSpec spec, int epoch, List<String> tokens, boolean finished)
      implements PeerMessage {}

  /** Adds tokens to a copy. */
  record CopyAppend(RequestId request, int epoch, int from, List<String> tokens, boolean finished)
      implements PeerMessage {}

  /** Says how many tokens of a generation the sender holds. */
  record CopyHeld(RequestId request, int epoch, int length, boolean finished)
      implements PeerMessage {}

  /** Says that the generation has another owner now, under a higher epoch. */
  record CopyFenced(RequestId request, int epoch) implements PeerMessage {}

  /** Says that the sender has no copy of the generation. */
  record CopyMissing(RequestId request, int epoch) implements PeerMessage {}

  /** Lets go of a copy. */
  record CopyDrop(RequestId request, int epoch) implements PeerMessage {}

  /** Asks for a generation on behalf of a caller who has its tokens up to an offset. */
  record TakeOver(long ticket, RequestId request, AccountId account, int offset, long digest)
      implements PeerMessage {}

  /** Hands a generation over under a new epoch. */
  record TakeOverGranted(
      long ticket, GenerationSpec spec, int epoch, List<String> tokens, boolean finished)
      implements PeerMessage {}

  /** Refuses to hand a generation over. */
  record TakeOverRefused(long ticket, TakeoverRefusal reason) implements PeerMessage {}

  /** Asks the home host of a claim to write it. */
  record ClaimAsk(long ticket, String key, String value) implements PeerMessage {}

  /**
   * Says what came of a claim.
   *
   * @param present the value of the claim in force; empty if the claim could not be written
   */
  record ClaimResult(long ticket, Optional<String> present) implements PeerMessage {}

  /** Asks the host that wrote a claim what came of the call. */
  record OutcomeAsk(long ticket, String key, String claimValue) implements PeerMessage {}

  /** Says what came of a call. */
  record OutcomeAnswer(long ticket, CallState state, int status, String body)
      implements PeerMessage {}

  /** Passes on edits, which are in the order of their revisions. */
  record EditsPush(List<TableEdit> edits) implements PeerMessage {}

  /** Asks for the edits after a revision. */
  record EditsFetch(long haveRevision) implements PeerMessage {}

  /** Passes the whole table on, to a peer that is too far behind for single edits. */
  record TablePush(long revision, List<TableEdit> latestEdits) implements PeerMessage {}

  /** The host whose process sent it may differ from the one that the message speaks of. */
  record TargetLeaving(TargetId target, HostId firstSeenBy) implements PeerMessage {}
}
