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
 * Executes calls that may not be repeated at most once for each Idempotency-Key, also when a caller
 * sends the same key to several hosts.
 *
 * <p>A host executes a call only while the key's row holds the claim that it wrote. A claim is
 * replaced, by compare and swap, only after the host that wrote it has confirmed that it will never
 * execute the call.
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

  /** The request of one caller to execute a call. */
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

  /** A query for the outcome of a call, sent to the host that holds the claim. */
  private record OutcomeQuery(
      HostId host, CallRequest request, String currentValue, TimerQueue.Timer timer) {}

  /** Executes a call, or reports the outcome of an earlier request with the same key. */
  void execute(CallRunner.Call call, Row account, Row service, CallRunner.Listener listener) {
    String digest =
        Hashing.sipHash24()
            .hashString(call.service().value() + "|" + call.body(), StandardCharsets.UTF_8)
            .toString();
    CallRequest request = new CallRequest(call, account, service, listener, digest);
    CallRecord record = records.get(request.key());
    if (record == null) {
      record = new CallRecord(request.key(), digest);
      records.put(request.key(), record);
      claim(request, record, Optional.empty(), 0);
    } else if (!record.bodyDigest().equals(digest)) {
      listener.onFailure(bodyChanged(request));
    } else if (record.state() == CallState.NOT_SENT) {
      claim(request, record, Optional.empty(), 0);
    } else if (record.state() == CallState.RUNNING) {
      record.addListener(endedRecord -> notifyListener(request, endedRecord));
    } else {
      notifyListener(request, record);
    }
  }

  private void claim(
      CallRequest request, CallRecord record, Optional<String> replaced, int replacements) {
    String nonce = Long.toHexString(context.random().nextLong());
    String value = new ClaimValue(context.self(), nonce, request.bodyDigest()).toString();
    record.startClaim(value);
    TableWrite write =
        replaced
            .map(old -> TableWrite.replace(request.key(), old, value))
            .orElseGet(() -> TableWrite.insert(request.key(), value));
    claims.claim(
        write,
        currentValue -> handleClaimResult(request, record, value, currentValue, replacements));
  }

  private void handleClaimResult(
      CallRequest request,
      CallRecord record,
      String value,
      Optional<String> currentValue,
      int replacements) {
    if (currentValue.isEmpty()) {
      context.logEvent(
          EventCode.CLAIM_FAILED, request.call().executionId(), "the table did not answer");
      failUnsent(request, record, claimUnconfirmed("the claim was not confirmed"));
    } else if (currentValue.get().equals(value)) {
      context.logEvent(EventCode.CLAIM_GRANTED, request.call().executionId(), value);
      send(request, record);
    } else {
      handleClaimTaken(request, record, currentValue.get(), replacements);
    }
  }

  private void failUnsent(CallRequest request, CallRecord record, Problem problem) {
    record.abandonClaim();
    request.listener().onFailure(problem);
    record.finish(CallState.NOT_SENT);
    scheduleExpiry(record);
  }

  private void send(CallRequest request, CallRecord record) {
    runner.execute(
        request.call(), request.account(), request.service(), new ResultListener(request, record));
  }

  /** Records how the call ended and notifies all listeners of the record. */
  private final class ResultListener implements CallRunner.Listener {
    private final CallRequest request;
    private final CallRecord record;

    private ResultListener(CallRequest request, CallRecord record) {
      this.request = request;
      this.record = record;
    }

    @Override
    public void onResponse(int status, String body) {
      request.listener().onResponse(status, body);
      record.complete(status, body);
      scheduleExpiry(record);
    }

    @Override
    public void onFailure(Problem problem) {
      if (problem.outcome() == Outcome.NOT_RUN) {
        failUnsent(request, record, problem);
        return;
      }
      request.listener().onFailure(problem);
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

  private void handleClaimTaken(
      CallRequest request, CallRecord record, String currentValue, int replacements) {
    Optional<ClaimValue> claim = ClaimValue.parse(currentValue);
    boolean otherBody = claim.isPresent() && !claim.get().bodyDigest().equals(request.bodyDigest());
    if (otherBody) {
      failClaimedElsewhere(request, record, bodyChanged(request));
    } else if (claim.isEmpty() || replacements >= MAX_CLAIM_REPLACEMENTS) {
      failClaimedElsewhere(
          request, record, alreadyClaimed(request, "the claim cannot be followed"));
    } else if (record.hasAbandoned(currentValue)) {
      claim(request, record, Optional.of(currentValue), replacements + 1);
    } else {
      queryOutcome(request, record, claim.get().host(), currentValue, replacements);
    }
  }

  private void queryOutcome(
      CallRequest request, CallRecord record, HostId host, String currentValue, int replacements) {
    context.logEvent(EventCode.CLAIM_TAKEN, request.call().executionId(), "by " + host);
    if (host.equals(context.self())) {
      failClaimedElsewhere(
          request, record, alreadyClaimed(request, "an earlier process of this host had it"));
      return;
    }
    if (!members.isResponding(host)) {
      failClaimedElsewhere(request, record, hostUnresponsive(request, host));
      return;
    }
    long ticket = context.nextTicket();
    long timeoutMillis =
        OUTCOME_TIMEOUT_MILLIS + request.service().intValue(Column.CALL_TIMEOUT_MILLIS);
    TimerQueue.Timer timer = context.schedule(timeoutMillis, () -> handleQueryTimeout(ticket));
    queries.put(ticket, new OutcomeQuery(host, request, currentValue, timer));
    record.claimReplacements(replacements);
    context.emit(
        new Action.SendPeer(host, new PeerMessage.OutcomeAsk(ticket, request.key(), currentValue)));
  }

  private void handleQueryTimeout(long ticket) {
    OutcomeQuery query = queries.remove(ticket);
    if (query != null) {
      query.timer().cancel();
      failClaimedElsewhere(
          query.request(),
          records.get(query.request().key()),
          hostUnresponsive(query.request(), query.host()));
    }
  }

  /** Fails a request whose key another host claimed, and removes its record. */
  private void failClaimedElsewhere(CallRequest request, CallRecord record, Problem problem) {
    records.remove(request.key());
    request.listener().onFailure(problem);
    if (record != null) {
      record.finish(CallState.FORGOTTEN);
    }
  }

  private void notifyListener(CallRequest request, CallRecord endedRecord) {
    switch (endedRecord.state()) {
      case ANSWERED -> request.listener().onResponse(endedRecord.status(), endedRecord.body());
      case NOT_SENT ->
          request.listener().onFailure(claimUnconfirmed("the call was not sent from here"));
      default ->
          request.listener().onFailure(alreadyClaimed(request, "its target failed or is unknown"));
    }
  }

  /** The outcome is unknown because another host may have sent the call under the same key. */
  private static Problem claimUnconfirmed(String detail) {
    return new Problem(
        ProblemType.PLATFORM_UNAVAILABLE, Outcome.UNKNOWN, detail, RETRY_DELAY_MILLIS);
  }

  private static Problem bodyChanged(CallRequest request) {
    // The request with the other body may have been executed under this key.
    String detail = "key " + request.call().executionId();
    return new Problem(ProblemType.REQUEST_CHANGED, Outcome.UNKNOWN, detail, 0);
  }

  /** A retry is safe, and may return the response once the host with the claim is reachable. */
  private static Problem hostUnresponsive(CallRequest request, HostId host) {
    String detail = request.call().executionId() + " is with " + host + ", which does not answer";
    return new Problem(
        ProblemType.ALREADY_CLAIMED, Outcome.UNKNOWN, detail, UNRESPONSIVE_HOST_RETRY_DELAY_MILLIS);
  }

  private static Problem alreadyClaimed(CallRequest request, String detail) {
    return new Problem(
        ProblemType.ALREADY_CLAIMED,
        Outcome.UNKNOWN,
        request.call().executionId() + ": " + detail,
        0);
  }

  void handlePeerMessage(HostId from, PeerMessage message) {
    if (message instanceof PeerMessage.ClaimAsk query) {
      claims.handleClaimAsk(from, query);
    } else if (message instanceof PeerMessage.ClaimResult result) {
      claims.handleClaimResult(result);
    } else if (message instanceof PeerMessage.OutcomeAsk query) {
      handleOutcomeAsk(from, query);
    } else if (message instanceof PeerMessage.OutcomeAnswer outcome) {
      handleOutcomeAnswer(outcome);
    }
  }

  private void handleOutcomeAsk(HostId from, PeerMessage.OutcomeAsk query) {
    CallRecord record = records.get(query.key());
    if (record != null && record.hasAbandoned(query.claimValue())) {
      sendOutcome(from, query.ticket(), CallRecord.ofState(query.key(), CallState.NOT_SENT));
    } else if (record == null || !record.claimValue().equals(query.claimValue())) {
      // An earlier process of this host wrote the claim, and may have executed the call.
      sendOutcome(from, query.ticket(), CallRecord.ofState(query.key(), CallState.FORGOTTEN));
    } else if (record.state() == CallState.RUNNING) {
      record.addListener(endedRecord -> sendOutcome(from, query.ticket(), endedRecord));
    } else {
      sendOutcome(from, query.ticket(), record);
    }
  }

  private void sendOutcome(HostId to, long ticket, CallRecord record) {
    context.emit(new Action.SendPeer(to, record.toOutcomeAnswer(ticket)));
  }

  private void handleOutcomeAnswer(PeerMessage.OutcomeAnswer outcome) {
    OutcomeQuery query = queries.remove(outcome.ticket());
    if (query == null) {
      return;
    }
    query.timer().cancel();
    CallRequest request = query.request();
    CallRecord record = records.get(request.key());
    if (outcome.state() == CallState.NOT_SENT && record != null) {
      claim(request, record, Optional.of(query.currentValue()), record.claimReplacements() + 1);
    } else if (outcome.state() == CallState.ANSWERED) {
      records.remove(request.key());
      request.listener().onResponse(outcome.status(), outcome.body());
      if (record != null) {
        record.complete(outcome.status(), outcome.body());
      }
    } else {
      failClaimedElsewhere(
          request, record, alreadyClaimed(request, "the call failed or is unknown"));
    }
  }

  /** Fails the queries to a lost peer, and writes the claims delegated to it on this host. */
  void handlePeerUnreachable(HostId peer) {
    claims.handlePeerUnreachable(peer);
    for (Map.Entry<Long, OutcomeQuery> entry : List.copyOf(queries.entrySet())) {
      if (entry.getValue().host().equals(peer)) {
        handleQueryTimeout(entry.getKey());
      }
    }
  }
}
