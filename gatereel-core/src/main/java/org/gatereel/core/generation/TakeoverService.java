package org.gatereel.core.generation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.member.Membership;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.peer.TakeoverRefusal;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.table.Row;

/**
 * Resumes generations for callers that reconnect to any host.
 *
 * <p>The event id names the owner and the copy holder. This host looks for the generation in its
 * own state, then asks the holder, then the owner, then every responding peer. A host that has the
 * same tokens up to the caller's offset hands the generation over.
 */
public final class TakeoverService {
  private static final long STAGE_TIMEOUT_MILLIS = 300;
  private static final long LATE_RESPONSE_TIMEOUT_MILLIS = 1_200;
  private static final long RETRY_DELAY_MILLIS = 2_000;

  private final CoreContext context;
  private final PolicyTable table;
  private final Membership members;
  private final GenerationOwner owner;
  private final CopyStore copies;
  private final Map<Long, Search> searches = new HashMap<>();

  public TakeoverService(
      CoreContext context,
      PolicyTable table,
      Membership members,
      GenerationOwner owner,
      CopyStore copies) {
    this.context = context;
    this.table = table;
    this.members = members;
    this.owner = owner;
    this.copies = copies;
  }

  /**
   * A search for the generation of one caller.
   *
   * <p>A grant is accepted from any contacted host while the search runs, also after its stage has
   * timed out: that host has already raised the epoch, and ignoring its grant would lose the
   * generation.
   */
  private final class Search {
    private final long caller;
    private final AccountId account;
    private final EventId lastEventId;
    private final long ticket = context.nextTicket();
    private final Deque<Set<HostId>> stages = new ArrayDeque<>();
    private final Set<HostId> contacted = new HashSet<>();
    private final Set<HostId> pending = new HashSet<>();
    private final Set<HostId> unresponsive = new HashSet<>();
    private boolean allPeersContacted;
    private TimerQueue.Timer timer;

    private Search(long caller, AccountId account, EventId lastEventId) {
      this.caller = caller;
      this.account = account;
      this.lastEventId = lastEventId;
      lastEventId.holder().ifPresent(holder -> stages.add(Set.of(holder)));
      stages.add(Set.of(lastEventId.owner()));
      contacted.add(context.self());
      searches.put(ticket, this);
    }

    private void contactNextStage() {
      unresponsive.addAll(pending);
      pending.clear();
      while (pending.isEmpty() && !allPeersContacted) {
        nextStage().stream().filter(contacted::add).forEach(this::sendRequest);
      }
      if (!pending.isEmpty()) {
        timer = context.schedule(STAGE_TIMEOUT_MILLIS, this::contactNextStage);
      } else if (unresponsive.isEmpty()) {
        fail();
      } else {
        timer = context.schedule(LATE_RESPONSE_TIMEOUT_MILLIS, this::fail);
      }
    }

    private Set<HostId> nextStage() {
      if (!stages.isEmpty()) {
        return stages.poll();
      }
      allPeersContacted = true;
      Set<HostId> peers = new LinkedHashSet<>();
      members.knownPeers().stream()
          .map(peer -> peer.id())
          .filter(members::isResponding)
          .forEach(peers::add);
      return peers;
    }

    private void sendRequest(HostId host) {
      pending.add(host);
      context.emit(
          new Action.SendPeer(
              host,
              new PeerMessage.TakeOver(
                  ticket,
                  lastEventId.request(),
                  account,
                  lastEventId.offset(),
                  lastEventId.digest())));
    }

    private void handleRefused(HostId host, TakeoverRefusal reason) {
      unresponsive.remove(host);
      if (reason == TakeoverRefusal.WRONG_ACCOUNT) {
        stop();
        refuseWrongAccount(caller, lastEventId);
      } else if (pending.remove(host) && pending.isEmpty()) {
        timer.cancel();
        contactNextStage();
      }
    }

    private void handleUnreachable(HostId host, boolean processGone) {
      if (pending.remove(host)) {
        // A process that has ended has lost its copies, so no late response can follow.
        if (!processGone) {
          unresponsive.add(host);
        }
        if (pending.isEmpty()) {
          timer.cancel();
          contactNextStage();
        }
      }
    }

    private void stop() {
      searches.remove(ticket);
      if (timer != null) {
        timer.cancel();
      }
    }

    private void fail() {
      stop();
      context.logEvent(
          EventCode.TAKEOVER_FAILED,
          lastEventId.request().value(),
          "not answering: " + unresponsive.size());
      long retry = unresponsive.isEmpty() ? 0 : RETRY_DELAY_MILLIS;
      String detail =
          "after offset "
              + lastEventId.offset()
              + "; hosts that did not answer: "
              + unresponsive.size();
      context.emit(
          new Action.SendProblem(
              caller, new Problem(ProblemType.GENERATION_LOST, Outcome.RAN, detail, retry)));
    }
  }

  /** Resumes a generation of this host, or searches for it at other hosts. */
  public void handleResume(Event.ResumeRequested event) {
    Optional<Row> account = table.accountWithCredential(event.credential());
    if (account.isEmpty()) {
      context.emit(
          new Action.SendProblem(
              event.caller(),
              Problem.notRun(ProblemType.UNKNOWN_ACCOUNT, "no account has this key")));
      return;
    }
    AccountId accountId = new AccountId(account.get().key().name());
    EventId lastEventId = event.after();
    Optional<TakeoverRefusal> ownRefusal =
        owner.takeoverRefusal(
            lastEventId.request(), accountId, lastEventId.offset(), lastEventId.digest());
    Optional<TakeoverRefusal> copyRefusal =
        copies.takeoverRefusal(
            lastEventId.request(), accountId, lastEventId.offset(), lastEventId.digest());
    boolean wrongAccount =
        ownRefusal.equals(Optional.of(TakeoverRefusal.WRONG_ACCOUNT))
            || copyRefusal.equals(Optional.of(TakeoverRefusal.WRONG_ACCOUNT));
    if (wrongAccount) {
      refuseWrongAccount(event.caller(), lastEventId);
    } else if (ownRefusal.isEmpty()) {
      owner.reattach(lastEventId, event.caller());
    } else if (copyRefusal.isEmpty()) {
      CopyStore.Handover handover = copies.handOver(lastEventId.request(), context.self());
      adopt(handover, Optional.empty(), event.caller(), lastEventId);
    } else {
      context.logEvent(
          EventCode.TAKEOVER_ASKED, lastEventId.request().value(), "after " + lastEventId.offset());
      new Search(event.caller(), accountId, lastEventId).contactNextStage();
    }
  }

  private void refuseWrongAccount(long caller, EventId lastEventId) {
    context.emit(
        new Action.SendProblem(
            caller,
            new Problem(
                ProblemType.WRONG_ACCOUNT, Outcome.RAN, "request " + lastEventId.request(), 0)));
  }

  private void adopt(
      CopyStore.Handover handover, Optional<HostId> holder, long caller, EventId lastEventId) {
    Optional<Row> service = table.service(handover.spec().service());
    if (service.isEmpty()) {
      context.emit(
          new Action.SendProblem(
              caller,
              new Problem(
                  ProblemType.UNKNOWN_SERVICE, Outcome.RAN, "the service's row is gone", 0)));
      return;
    }
    owner.adopt(handover, holder, service.get(), caller, lastEventId);
  }

  /** Hands a generation over to a peer, or rejects the request. */
  public void handleTakeOver(HostId from, PeerMessage.TakeOver takeOver) {
    Optional<TakeoverRefusal> copyRefusal =
        copies.takeoverRefusal(
            takeOver.request(), takeOver.account(), takeOver.offset(), takeOver.digest());
    Optional<TakeoverRefusal> ownRefusal =
        owner.takeoverRefusal(
            takeOver.request(), takeOver.account(), takeOver.offset(), takeOver.digest());
    PeerMessage response;
    if (copyRefusal.isEmpty()) {
      response = grantMessage(takeOver.ticket(), copies.handOver(takeOver.request(), from));
    } else if (ownRefusal.isEmpty()) {
      copies.add(owner.relinquish(takeOver.request()));
      response = grantMessage(takeOver.ticket(), copies.handOver(takeOver.request(), from));
    } else {
      TakeoverRefusal reason =
          copyRefusal.get() == TakeoverRefusal.MISSING ? ownRefusal.get() : copyRefusal.get();
      response = new PeerMessage.TakeOverRefused(takeOver.ticket(), reason);
    }
    context.emit(new Action.SendPeer(from, response));
  }

  private static PeerMessage grantMessage(long ticket, CopyStore.Handover handover) {
    return new PeerMessage.TakeOverGranted(
        ticket, handover.spec(), handover.epoch(), handover.tokens(), handover.finished());
  }

  /** Adopts a generation that a peer hands over; the peer becomes its copy holder. */
  public void handleGranted(HostId from, PeerMessage.TakeOverGranted grant) {
    Search search = searches.get(grant.ticket());
    if (search == null) {
      return;
    }
    search.stop();
    CopyStore.Handover handover =
        new CopyStore.Handover(grant.spec(), grant.epoch(), grant.tokens(), grant.finished());
    adopt(handover, Optional.of(from), search.caller, search.lastEventId);
  }

  /** Continues a search after a peer rejected the request to hand over the generation. */
  public void handleRefused(HostId from, PeerMessage.TakeOverRefused refusal) {
    Search search = searches.get(refusal.ticket());
    if (search != null) {
      search.handleRefused(from, refusal.reason());
    }
  }

  /** Continues the searches that wait for an unreachable peer. */
  public void handlePeerUnreachable(HostId peer, boolean processGone) {
    List.copyOf(searches.values()).forEach(search -> search.handleUnreachable(peer, processGone));
  }

  /** Stops the search of a disconnected caller; returns whether there was one. */
  public boolean handleCallerDisconnected(long caller) {
    Optional<Search> search =
        searches.values().stream().filter(candidate -> candidate.caller == caller).findFirst();
    search.ifPresent(Search::stop);
    return search.isPresent();
  }
}
