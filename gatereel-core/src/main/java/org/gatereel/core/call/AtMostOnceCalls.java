package org.gatereel.core.call;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.member.Membership;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.peer.CallState;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.platform.PlatformPort;
import org.gatereel.core.platform.TableWrite;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.Row;

/**
 * Runs calls that may not be repeated at most once for each Idempotency-Key, whichever hosts the
 * caller sends it to.
 *
 * <p>The row of a claim is never taken away from a host that may still act on it. A host that gave
 * a claim up remembers the value it wrote and says so when asked; only then may another value
 * replace it, by compare and swap, so that of several hosts one goes on.
 */
final class AtMostOnceCalls {
  private static final long RECORD_EXPIRY_TIMEOUT_MILLIS = 600_000;
  private static final long OUTCOME_TIMEOUT_MILLIS = 1_000;
  private static final long RETRY_DELAY_MILLIS = 1_000;
  private static final long UNRESPONSIVE_HOST_RETRY_DELAY_MILLIS = 2_000;
  private static final int MAX_CLAIM_REPLACEMENTS = 4;

  private final CoreContext context;
  private final Membership members;
  private final ClaimRouter claims;
  private final CallRunner runner;
  private final Map<String, CallRecord> records = new HashMap<>();
  private final Map<Long, OutcomeQuery> queries = new HashMap<>();

  AtMostOnceCalls(
      CoreContext context, Membership members, PlatformPort platform, CallRunner runner) {
    this.context = context;
    this.members = members;
    this.claims = new ClaimRouter(context, members, platform);
    this.runner = runner;
  }

  /** One caller's wish to have a call run. */
  private record CallRequest(
      CallRunner.Call call,
      Row account,
      Row service,
      CallRunner.Listener listener,
      String bodyDigest) {
    private String key() {
      return ClaimWriter.KEY_PREFIX + call.executionId();
    }
  }

  /** A question to the host that holds a claim. */
  private record OutcomeQuery(
      HostId host, CallRequest request, String present, TimerQueue.Timer timer) {}

  /** Runs a call, or gives the answer that an earlier request with its key had. */
  void execute(CallRunner.Call call, Row account, Row service, CallRunner.Listener listener) {
    String digest =
        Hashing.sipHash24()
            .hashString(call.service().value() + "|" + call.body(), StandardCharsets.UTF_8)
            .toString();
    CallRequest wish = new CallRequest(call, account, service, listener, digest);
    CallRecord record = records.get(wish.key());
    if (record == null) {
      record = new CallRecord(wish.key(), digest);
      records.put(wish.key(), record);
      claim(wish, record, Optional.empty(), 0);
    } else if (!record.bodyDigest().equals(digest)) {
      listener.onFailure(bodyChanged(wish));
    } else if (record.state() == CallState.NOT_SENT) {
      claim(wish, record, Optional.empty(), 0);
    } else if (record.state() == CallState.RUNNING) {
      record.addListener(ended -> notifyListener(wish, ended));
    } else {
      notifyListener(wish, record);
    }
  }

  private void claim(CallRequest wish, CallRecord record, Optional<String> replaced, int swaps) {
    String nonce = Long.toHexString(context.random().nextLong());
    String value = new ClaimValue(context.self(), nonce, wish.bodyDigest()).toString();
    record.startClaim(value);
    TableWrite write =
        replaced
            .map(old -> TableWrite.replace(wish.key(), old, value))
            .orElseGet(() -> TableWrite.insert(wish.key(), value));
    claims.claim(write, present -> handleClaimResult(wish, record, value, present, swaps));
  }

  private void handleClaimResult(
      CallRequest wish, CallRecord record, String value, Optional<String> present, int swaps) {
    if (present.isEmpty()) {
      context.logEvent(
          EventCode.CLAIM_FAILED, wish.call().executionId(), "the table did not answer");
      failUnsent(wish, record, claimUnconfirmed("the claim was not confirmed"));
    } else if (present.get().equals(value)) {
      context.logEvent(EventCode.CLAIM_GRANTED, wish.call().executionId(), value);
      send(wish, record);
    } else {
      handleClaimTaken(wish, record, present.get(), swaps);
    }
  }

  private void failUnsent(CallRequest wish, CallRecord record, Problem problem) {
    record.abandonClaim();
    wish.listener().onFailure(problem);
    record.finish(CallState.NOT_SENT);
    scheduleExpiry(record);
  }

  private void send(CallRequest wish, CallRecord record) {
    runner.execute(wish.call(), wish.account(), wish.service(), new ResultListener(wish, record));
  }

  /** Remembers how the call ended and tells all who wait for it. */
  private final class ResultListener implements CallRunner.Listener {
    private final CallRequest wish;
    private final CallRecord record;

    private ResultListener(CallRequest wish, CallRecord record) {
      this.wish = wish;
      this.record = record;
    }

    @Override
    public void onResponse(int status, String body) {
      wish.listener().onResponse(status, body);
      record.complete(status, body);
      scheduleExpiry(record);
    }

    @Override
    public void onFailure(Problem problem) {
      if (problem.outcome() == Outcome.NOT_RUN) {
        failUnsent(wish, record, problem);
        return;
      }
      wish.listener().onFailure(problem);
      record.finish(CallState.FAILED);
      scheduleExpiry(record);
    }
  }

  private void scheduleExpiry(CallRecord record) {
    String value = record.claimValue();
    context.schedule(
        RECORD_EXPIRY_TIMEOUT_MILLIS,
        () -> {
          boolean unchanged =
              record.claimValue().equals(value) && record.state() != CallState.RUNNING;
          if (unchanged) {
            records.remove(record.key(), record);
          }
        });
  }

  private void handleClaimTaken(CallRequest wish, CallRecord record, String present, int swaps) {
    Optional<ClaimValue> claim = ClaimValue.parse(present);
    boolean otherBody = claim.isPresent() && !claim.get().bodyDigest().equals(wish.bodyDigest());
    if (otherBody) {
      failClaimedElsewhere(wish, record, bodyChanged(wish));
    } else if (claim.isEmpty() || swaps >= MAX_CLAIM_REPLACEMENTS) {
      failClaimedElsewhere(wish, record, alreadyClaimed(wish, "the claim cannot be followed"));
    } else if (record.hasAbandoned(present)) {
      claim(wish, record, Optional.of(present), swaps + 1);
    } else {
      queryOutcome(wish, record, claim.get().host(), present, swaps);
    }
  }

  private void queryOutcome(
      CallRequest wish, CallRecord record, HostId host, String present, int swaps) {
    context.logEvent(EventCode.CLAIM_TAKEN, wish.call().executionId(), "by " + host);
    if (host.equals(context.self())) {
      failClaimedElsewhere(
          wish, record, alreadyClaimed(wish, "an earlier process of this host had it"));
      return;
    }
    if (!members.isAnswering(host)) {
      failClaimedElsewhere(wish, record, hostUnresponsive(wish, host));
      return;
    }
    long ticket = context.nextTicket();
    long patience = OUTCOME_TIMEOUT_MILLIS + wish.service().number(Column.CALL_TIMEOUT_MILLIS);
    TimerQueue.Timer timer = context.schedule(patience, () -> handleQueryTimeout(ticket));
    queries.put(ticket, new OutcomeQuery(host, wish, present, timer));
    record.claimReplacements(swaps);
    context.emit(
        new Action.SendPeer(host, new PeerMessage.OutcomeAsk(ticket, wish.key(), present)));
  }

  private void handleQueryTimeout(long ticket) {
    OutcomeQuery question = queries.remove(ticket);
    if (question != null) {
      question.timer().cancel();
      failClaimedElsewhere(
          question.request(),
          records.get(question.request().key()),
          hostUnresponsive(question.request(), question.host()));
    }
  }

  /** Ends a wish whose claim another host has; this host then knows nothing of the call. */
  private void failClaimedElsewhere(CallRequest wish, CallRecord record, Problem problem) {
    records.remove(wish.key());
    wish.listener().onFailure(problem);
    if (record != null) {
      record.finish(CallState.FORGOTTEN);
    }
  }

  private void notifyListener(CallRequest wish, CallRecord ended) {
    switch (ended.state()) {
      case ANSWERED -> wish.listener().onResponse(ended.status(), ended.body());
      case NOT_SENT ->
          wish.listener().onFailure(claimUnconfirmed("the call was not sent from here"));
      default -> wish.listener().onFailure(alreadyClaimed(wish, "its target failed or is unknown"));
    }
  }

  /** This host did not send the call; but another one may have, under the same key. */
  private static Problem claimUnconfirmed(String detail) {
    return new Problem(
        ProblemType.PLATFORM_UNAVAILABLE, Outcome.UNKNOWN, detail, RETRY_DELAY_MILLIS);
  }

  private static Problem bodyChanged(CallRequest wish) {
    // The request with the other body may have run under this key.
    String detail = "key " + wish.call().executionId();
    return new Problem(ProblemType.REQUEST_CHANGED, Outcome.UNKNOWN, detail, 0);
  }

  /** The host with the claim may come back; asking again is safe, and may then bring the answer. */
  private static Problem hostUnresponsive(CallRequest wish, HostId host) {
    String detail = wish.call().executionId() + " is with " + host + ", which does not answer";
    return new Problem(
        ProblemType.ALREADY_CLAIMED, Outcome.UNKNOWN, detail, UNRESPONSIVE_HOST_RETRY_DELAY_MILLIS);
  }

  private static Problem alreadyClaimed(CallRequest wish, String detail) {
    return new Problem(
        ProblemType.ALREADY_CLAIMED, Outcome.UNKNOWN, wish.call().executionId() + ": " + detail, 0);
  }

  /** Takes in what a peer says about claims and calls. */
  void handlePeerMessage(HostId from, PeerMessage message) {
    if (message instanceof PeerMessage.ClaimAsk ask) {
      claims.handleClaimAsk(from, ask);
    } else if (message instanceof PeerMessage.ClaimResult result) {
      claims.handleClaimResult(result);
    } else if (message instanceof PeerMessage.OutcomeAsk ask) {
      handleOutcomeAsk(from, ask);
    } else if (message instanceof PeerMessage.OutcomeAnswer answer) {
      handleOutcomeAnswer(answer);
    }
  }

  private void handleOutcomeAsk(HostId from, PeerMessage.OutcomeAsk ask) {
    CallRecord record = records.get(ask.key());
    if (record != null && record.hasAbandoned(ask.claimValue())) {
      sendOutcome(from, ask.ticket(), CallRecord.ofState(ask.key(), CallState.NOT_SENT));
    } else if (record == null || !record.claimValue().equals(ask.claimValue())) {
      // A claim of an earlier process of this host: whether it was acted on is not known here.
      sendOutcome(from, ask.ticket(), CallRecord.ofState(ask.key(), CallState.FORGOTTEN));
    } else if (record.state() == CallState.RUNNING) {
      record.addListener(ended -> sendOutcome(from, ask.ticket(), ended));
    } else {
      sendOutcome(from, ask.ticket(), record);
    }
  }

  private void sendOutcome(HostId to, long ticket, CallRecord record) {
    context.emit(new Action.SendPeer(to, record.toOutcomeAnswer(ticket)));
  }

  private void handleOutcomeAnswer(PeerMessage.OutcomeAnswer answer) {
    OutcomeQuery question = queries.remove(answer.ticket());
    if (question == null) {
      return;
    }
    question.timer().cancel();
    CallRequest wish = question.request();
    CallRecord record = records.get(wish.key());
    if (answer.state() == CallState.NOT_SENT && record != null) {
      claim(wish, record, Optional.of(question.present()), record.claimReplacements() + 1);
    } else if (answer.state() == CallState.ANSWERED) {
      records.remove(wish.key());
      wish.listener().onResponse(answer.status(), answer.body());
      if (record != null) {
        record.complete(answer.status(), answer.body());
      }
    } else {
      failClaimedElsewhere(wish, record, alreadyClaimed(wish, "the call failed or is unknown"));
    }
  }

  /** Gives up questions to a lost peer, and writes the claims it was to write. */
  void handlePeerUnreachable(HostId peer) {
    claims.handlePeerUnreachable(peer);
    for (Map.Entry<Long, OutcomeQuery> entry : List.copyOf(queries.entrySet())) {
      if (entry.getValue().host().equals(peer)) {
        handleQueryTimeout(entry.getKey());
      }
    }
  }
}
