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
 * Serves callers who come back, to whichever host.
 *
 * <p>The event id names the owner and the copy holder. This host looks at what it has itself, then
 * asks the holder, then the owner, then every peer that answers; whoever has the same tokens up to
 * the caller's offset hands the generation over.
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
   * One caller's search for its generation.
   *
   * <p>An answer counts whenever it comes while the search goes on: a holder that was slow has
   * raised the epoch all the same, so that to pass its grant over would lose the generation.
   */
  private final class Search {
    private final long caller;
    private final AccountId account;
    private final EventId after;
    private final long ticket = context.nextTicket();
    private final Deque<Set<HostId>> stages = new ArrayDeque<>();
    private final Set<HostId> contacted = new HashSet<>();
    private final Set<HostId> pending = new HashSet<>();
    private final Set<HostId> unresponsive = new HashSet<>();
    private boolean allPeersContacted;
    private TimerQueue.Timer timer;

    private Search(long caller, AccountId account, EventId after) {
      this.caller = caller;
      this.account = account;
      this.after = after;
      after.holder().ifPresent(holder -> stages.add(Set.of(holder)));
      stages.add(Set.of(after.owner()));
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
      Set<HostId> everyone = new LinkedHashSet<>();
      members.known().stream()
          .map(peer -> peer.id())
          .filter(members::isAnswering)
          .forEach(everyone::add);
      return everyone;
    }

    private void sendRequest(HostId host) {
      pending.add(host);
      context.emit(
          new Action.SendPeer(
              host,
              new PeerMessage.TakeOver(
                  ticket, after.request(), account, after.offset(), after.digest())));
    }

    private void handleRefused(HostId host, TakeoverRefusal reason) {
      unresponsive.remove(host);
      if (reason == TakeoverRefusal.WRONG_ACCOUNT) {
        stop();
        refuseWrongAccount(caller, after);
      } else if (pending.remove(host) && pending.isEmpty()) {
        timer.cancel();
        contactNextStage();
      }
    }

    private void handleUnreachable(HostId host, boolean processGone) {
      if (pending.remove(host)) {
        // A process that has ended took its memory along: there is nothing to wait for.
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
          after.request().value(),
          "not answering: " + unresponsive.size());
      long retry = unresponsive.isEmpty() ? 0 : RETRY_DELAY_MILLIS;
      String detail =
          "after offset " + after.offset() + "; hosts that did not answer: " + unresponsive.size();
      context.emit(
          new Action.Refuse(
              caller, new Problem(ProblemType.GENERATION_LOST, Outcome.RAN, detail, retry)));
    }
  }

  /** Takes in a caller who comes back. */
  public void handleResume(Event.ResumeRequested event) {
    Optional<Row> account = table.accountWithCredential(event.credential());
    if (account.isEmpty()) {
      context.emit(
          new Action.Refuse(
              event.caller(),
              Problem.notRun(ProblemType.UNKNOWN_ACCOUNT, "no account has this key")));
      return;
    }
    AccountId accountId = new AccountId(account.get().key().name());
    EventId after = event.after();
    Optional<TakeoverRefusal> ownRefusal =
        owner.takeoverRefusal(after.request(), accountId, after.offset(), after.digest());
    Optional<TakeoverRefusal> copyRefusal =
        copies.takeoverRefusal(after.request(), accountId, after.offset(), after.digest());
    boolean otherAccount =
        ownRefusal.equals(Optional.of(TakeoverRefusal.WRONG_ACCOUNT))
            || copyRefusal.equals(Optional.of(TakeoverRefusal.WRONG_ACCOUNT));
    if (otherAccount) {
      refuseWrongAccount(event.caller(), after);
    } else if (ownRefusal.isEmpty()) {
      owner.reattach(after, event.caller());
    } else if (copyRefusal.isEmpty()) {
      CopyStore.Handover handover = copies.handOver(after.request(), context.self());
      adopt(handover, Optional.empty(), event.caller(), after);
    } else {
      context.logEvent(
          EventCode.TAKEOVER_ASKED, after.request().value(), "after " + after.offset());
      new Search(event.caller(), accountId, after).contactNextStage();
    }
  }

  private void refuseWrongAccount(long caller, EventId after) {
    context.emit(
        new Action.Refuse(
            caller,
            new Problem(ProblemType.WRONG_ACCOUNT, Outcome.RAN, "request " + after.request(), 0)));
  }

  private void adopt(
      CopyStore.Handover handover, Optional<HostId> holder, long caller, EventId after) {
    Optional<Row> service = table.service(handover.spec().service());
    if (service.isEmpty()) {
      context.emit(
          new Action.Refuse(
              caller,
              new Problem(
                  ProblemType.UNKNOWN_SERVICE, Outcome.RAN, "the service's row is gone", 0)));
      return;
    }
    owner.adopt(handover, holder, service.get(), caller, after);
  }

  /** Answers a peer that asks for a generation. */
  public void handleTakeOver(HostId from, PeerMessage.TakeOver ask) {
    Optional<TakeoverRefusal> copyRefusal =
        copies.takeoverRefusal(ask.request(), ask.account(), ask.offset(), ask.digest());
    Optional<TakeoverRefusal> ownRefusal =
        owner.takeoverRefusal(ask.request(), ask.account(), ask.offset(), ask.digest());
    PeerMessage answer;
    if (copyRefusal.isEmpty()) {
      answer = grantMessage(ask.ticket(), copies.handOver(ask.request(), from));
    } else if (ownRefusal.isEmpty()) {
      copies.add(owner.relinquish(ask.request()));
      answer = grantMessage(ask.ticket(), copies.handOver(ask.request(), from));
    } else {
      TakeoverRefusal reason =
          copyRefusal.get() == TakeoverRefusal.MISSING ? ownRefusal.get() : copyRefusal.get();
      answer = new PeerMessage.TakeOverRefused(ask.ticket(), reason);
    }
    context.emit(new Action.SendPeer(from, answer));
  }

  private static PeerMessage grantMessage(long ticket, CopyStore.Handover handover) {
    return new PeerMessage.TakeOverGranted(
        ticket, handover.spec(), handover.epoch(), handover.tokens(), handover.finished());
  }

  /** Takes over a generation that a peer hands over; that peer keeps the copy. */
  public void handleGranted(HostId from, PeerMessage.TakeOverGranted grant) {
    Search search = searches.get(grant.ticket());
    if (search == null) {
      return;
    }
    search.stop();
    CopyStore.Handover handover =
        new CopyStore.Handover(grant.spec(), grant.epoch(), grant.tokens(), grant.finished());
    adopt(handover, Optional.of(from), search.caller, search.after);
  }

  /** Goes on searching when a peer has nothing to hand over. */
  public void handleRefused(HostId from, PeerMessage.TakeOverRefused refusal) {
    Search search = searches.get(refusal.ticket());
    if (search != null) {
      search.handleRefused(from, refusal.reason());
    }
  }

  /** Goes on searching when a peer turns out not to answer. */
  public void handlePeerUnreachable(HostId peer, boolean processGone) {
    List.copyOf(searches.values()).forEach(search -> search.handleUnreachable(peer, processGone));
  }

  /** Notes that a caller's connection ended; returns whether it was searching here. */
  public boolean handleCallerDisconnected(long caller) {
    Optional<Search> search =
        searches.values().stream().filter(candidate -> candidate.caller == caller).findFirst();
    search.ifPresent(Search::stop);
    return search.isPresent();
  }
}
