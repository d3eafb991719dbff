package org.gatereel.core;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.gatereel.core.action.Action;
import org.gatereel.core.admission.Admission;
import org.gatereel.core.call.CallService;
import org.gatereel.core.edit.EditService;
import org.gatereel.core.edit.RevisionSynchronizer;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.generation.CopyStore;
import org.gatereel.core.generation.GenerationOwner;
import org.gatereel.core.generation.GenerationService;
import org.gatereel.core.generation.RetryBudgets;
import org.gatereel.core.generation.TakeoverService;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.member.Membership;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.platform.PlatformPort;
import org.gatereel.core.platform.StoreLimits;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * The decision logic of an entry host, without I/O, clock or randomness of its own.
 *
 * <p>The driver passes in events and the time, and executes the returned actions in their order. An
 * instance must be used by one thread at a time. Times are milliseconds of a monotonic clock.
 *
 * <pre>{@code
 * EntryHost host = new EntryHost(id, dataCentre, random);
 * execute(host.start(now, seeds));
 * execute(host.handle(event, now));
 * execute(host.advance(now)); // when host.nextDeadline() is reached
 * }</pre>
 *
 * @since 0.1.0
 */
public final class EntryHost {
  private static final long PAUSE_THRESHOLD_MILLIS = 400;
  private static final long DRAINING_RETRY_DELAY_MILLIS = 100;
  private static final long NOT_READY_RETRY_DELAY_MILLIS = 500;

  private final CoreContext context;
  private final PolicyTable table = new PolicyTable();
  private final TargetRegistry targets;
  private final Membership members;
  private final PlatformPort platform;
  private final RevisionSynchronizer revisions;
  private final EditService edits;
  private final Admission admission;
  private final CopyStore copies;
  private final GenerationOwner owner;
  private final GenerationService generations;
  private final TakeoverService takeovers;
  private final CallService calls;
  private boolean draining;
  private boolean dispatchRequested;

  /** Makes a host that uses a store with the standard limits. */
  public EntryHost(HostId self, DataCentre dataCentre, RandomGenerator random) {
    this(self, dataCentre, random, StoreLimits.STANDARD);
  }

  public EntryHost(
      HostId self, DataCentre dataCentre, RandomGenerator random, StoreLimits storeLimits) {
    context = new CoreContext(self, dataCentre, random);
    targets = new TargetRegistry(context, table);
    members = new Membership(context, this::heartbeat);
    platform = new PlatformPort(context, storeLimits);
    revisions = new RevisionSynchronizer(context, table, members, platform);
    edits = new EditService(context, table, platform, revisions);
    admission = new Admission(context, targets);
    copies = new CopyStore(context);
    RetryBudgets budgets = new RetryBudgets();
    owner = new GenerationOwner(context, table, targets, members, budgets, this::requestDispatch);
    generations = new GenerationService(context, table, targets, admission, owner, budgets);
    takeovers = new TakeoverService(context, table, members, owner, copies);
    calls =
        new CallService(
            context, table, targets, members, admission, budgets, platform, this::requestDispatch);
    targets.onLeaving(this::announceDraining);
  }

  /** Starts heartbeats and reads; {@code seeds} are the peers from the settings. */
  public List<Action> start(long now, List<HostDescription> seeds) {
    context.advanceTo(now);
    context.logEvent(EventCode.HOST_STARTED, context.self().value(), context.dataCentre().value());
    members.start(seeds);
    revisions.start();
    copies.start();
    return context.takeActions();
  }

  /** Returns when {@link #advance} must be called next, unless an event is handled before. */
  public OptionalLong nextDeadline() {
    return context.timers().nextDeadline();
  }

  /** Runs the tasks that are due at {@code now}. */
  public List<Action> advance(long now) {
    advanceTo(now);
    context.timers().runDue(now);
    dispatch();
    return context.takeActions();
  }

  public List<Action> handle(Event event, long now) {
    advanceTo(now);
    if (event instanceof Event.TokenArrived token) {
      owner.handleToken(token);
    } else if (event instanceof Event.PeerMessageReceived received) {
      handlePeerMessage(received.from(), received.message());
    } else if (!handleCaller(event) && !handleTarget(event)) {
      handleEnvironment(event);
    }
    dispatch();
    return context.takeActions();
  }

  private void advanceTo(long now) {
    OptionalLong nextDeadline = context.timers().nextDeadline();
    long previousTime = context.now();
    context.advanceTo(now);
    long lateMillis =
        nextDeadline.isPresent() ? now - Math.max(nextDeadline.getAsLong(), previousTime) : 0;
    if (lateMillis > PAUSE_THRESHOLD_MILLIS) {
      context.recordPause();
      context.logEvent(EventCode.PAUSE_NOTICED, context.self().value(), lateMillis + " ms");
    }
  }

  private boolean handleCaller(Event event) {
    if (event instanceof Event.GenerationRequested request) {
      if (canAccept(request.caller(), Outcome.NOT_RUN)) {
        generations.handleRequest(request);
      }
    } else if (event instanceof Event.CallRequested request) {
      // Another host may have executed a call with the same key.
      Outcome outcome = request.idempotencyKey().isPresent() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      if (canAccept(request.caller(), outcome)) {
        calls.handleRequest(request);
      }
    } else if (event instanceof Event.ResumeRequested request) {
      if (hasTable(request.caller(), Outcome.RAN)) {
        takeovers.handleResume(request);
      }
    } else if (event instanceof Event.CallerDisconnected disconnected) {
      handleCallerDisconnected(disconnected.caller());
    } else if (event instanceof Event.EditRequested request) {
      edits.handleRequest(request);
    } else {
      return false;
    }
    return true;
  }

  private boolean canAccept(long caller, Outcome outcome) {
    if (draining) {
      String detail = "connect again to reach another host";
      reject(
          caller, new Problem(ProblemType.DRAINING, outcome, detail, DRAINING_RETRY_DELAY_MILLIS));
      return false;
    }
    return hasTable(caller, outcome);
  }

  /** Rejects requests before the first table is applied, when accounts and services are unknown. */
  private boolean hasTable(long caller, Outcome outcome) {
    if (table.revision() == 0) {
      String detail = "neither the platform nor a peer has answered yet";
      reject(
          caller,
          new Problem(ProblemType.NOT_READY, outcome, detail, NOT_READY_RETRY_DELAY_MILLIS));
    }
    return table.revision() > 0;
  }

  private void reject(long caller, Problem problem) {
    context.emit(new Action.SendProblem(caller, problem));
  }

  private void handleCallerDisconnected(long caller) {
    boolean known =
        owner.handleCallerDisconnected(caller)
            || generations.handleCallerDisconnected(caller)
            || takeovers.handleCallerDisconnected(caller)
            || calls.handleCallerDisconnected(caller);
    if (!known) {
      edits.handleCallerDisconnected(caller);
    }
  }

  private boolean handleTarget(Event event) {
    if (event instanceof Event.AttemptFinished finished) {
      owner.handleAttemptFinished(finished);
    } else if (event instanceof Event.AttemptFailed failed) {
      owner.handleAttemptFailed(failed);
    } else if (event instanceof Event.CallResponseReceived response) {
      calls.handleResponse(response);
    } else if (event instanceof Event.CallFailed failed) {
      calls.handleFailure(failed);
    } else if (event instanceof Event.HealthCheckResponseReceived response) {
      handleHealthCheck(response);
    } else {
      return false;
    }
    return true;
  }

  private void handleHealthCheck(Event.HealthCheckResponseReceived response) {
    targets
        .find(response.target())
        .ifPresent(target -> targets.recordResponse(target, response.load()));
    if (response.leaving()) {
      targets.recordLeaving(response.target());
    }
  }

  private void handleEnvironment(Event event) {
    if (event instanceof Event.HostListReceived received) {
      applyList(received.list());
    } else if (event instanceof Event.TransactionEnded ended) {
      platform.complete(ended);
    } else if (event instanceof Event.ReadEnded ended) {
      platform.complete(ended);
    } else if (event instanceof Event.PeerUnreachable unreachable) {
      handlePeerUnreachable(unreachable);
    } else if (event instanceof Event.DrainRequested) {
      drain();
    }
  }

  private void applyList(HostList list) {
    members.applyList(list);
    targets.applyList(list);
    requestDispatch();
  }

  private void handlePeerUnreachable(Event.PeerUnreachable event) {
    members.markUnreachable(event.peer());
    takeovers.handlePeerUnreachable(event.peer(), event.processGone());
    calls.handlePeerUnreachable(event.peer());
  }

  private void drain() {
    if (!draining) {
      draining = true;
      context.logEvent(
          EventCode.HOST_DRAINING, context.self().value(), openCount() + " requests open");
      members.sendHeartbeats();
    }
  }

  private PeerMessage heartbeat() {
    return new PeerMessage.Heartbeat(table.revision(), draining, targets.leavingTargets());
  }

  private void announceDraining(TargetState target) {
    PeerMessage message = new PeerMessage.TargetLeaving(target.description().id(), context.self());
    members.neighbours().forEach(peer -> context.emit(new Action.SendPeer(peer, message)));
  }

  private void handlePeerMessage(HostId from, PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      members.recordMessage(from, heartbeat.draining());
      revisions.handlePeerRevision(from, heartbeat.revision());
      heartbeat.leavingTargets().forEach(targets::recordLeaving);
      return;
    }
    members.recordMessage(from);
    if (!handleCopyMessage(from, message)
        && !handleTakeOverMessage(from, message)
        && !handleTableMessage(from, message)) {
      if (message instanceof PeerMessage.TargetLeaving leaving) {
        targets.recordLeaving(leaving.target());
      } else {
        calls.handlePeerMessage(from, message);
      }
    }
  }

  private boolean handleCopyMessage(HostId from, PeerMessage message) {
    if (message instanceof PeerMessage.CopyAppend append) {
      copies.handleAppend(from, append);
    } else if (message instanceof PeerMessage.CopyHeld held) {
      owner.handleHeld(from, held);
    } else if (message instanceof PeerMessage.CopyOpen open) {
      copies.handleOpen(from, open);
    } else if (message instanceof PeerMessage.CopyDrop drop) {
      copies.handleDrop(from, drop);
    } else if (message instanceof PeerMessage.CopyFenced fenced) {
      owner.handleFenced(fenced);
    } else if (message instanceof PeerMessage.CopyMissing missing) {
      owner.handleMissing(from, missing);
    } else {
      return false;
    }
    return true;
  }

  private boolean handleTakeOverMessage(HostId from, PeerMessage message) {
    if (message instanceof PeerMessage.TakeOver takeOver) {
      takeovers.handleTakeOver(from, takeOver);
    } else if (message instanceof PeerMessage.TakeOverGranted granted) {
      takeovers.handleGranted(from, granted);
    } else if (message instanceof PeerMessage.TakeOverRefused refused) {
      takeovers.handleRefused(from, refused);
    } else {
      return false;
    }
    return true;
  }

  private boolean handleTableMessage(HostId from, PeerMessage message) {
    if (message instanceof PeerMessage.EditsPush push) {
      revisions.handleEditsPush(from, push);
    } else if (message instanceof PeerMessage.EditsFetch fetch) {
      revisions.handleEditsFetch(from, fetch);
    } else if (message instanceof PeerMessage.TablePush push) {
      revisions.handleTablePush(push);
    } else {
      return false;
    }
    return true;
  }

  private void requestDispatch() {
    dispatchRequested = true;
  }

  private void dispatch() {
    if (dispatchRequested || admission.waitingRequests() > 0) {
      dispatchRequested = false;
      admission.dispatch();
    }
  }

  /** Returns the number of callers and operators that wait for a response. */
  public int openCount() {
    return owner.openCount() + admission.waitingRequests() + calls.openCount() + edits.openCount();
  }

  /** Returns whether callers are served: a table is in force and the host is not draining. */
  public boolean isReady() {
    return table.revision() > 0 && !draining;
  }

  /** Returns a consistent snapshot of the host's status. */
  public HostStatus status() {
    List<HostStatus.TargetStatus> targetStatuses = new ArrayList<>();
    for (TargetState target : targets.all()) {
      targetStatuses.add(
          new HostStatus.TargetStatus(
              target.description(),
              target.isLeaving(),
              target.localOpenRequests(),
              target.estimatedLoad(context.now())));
    }
    List<HostStatus.PeerStatus> peers =
        members.knownPeers().stream()
            .map(peer -> new HostStatus.PeerStatus(peer, members.isResponding(peer.id())))
            .toList();
    return new HostStatus(
        context.self(),
        context.dataCentre(),
        table.revision(),
        draining,
        owner.openCount(),
        owner.size(),
        copies.size(),
        admission.waitingRequests(),
        calls.openCount(),
        peers,
        targetStatuses);
  }

  /** Returns the table in force, which must only be used by the thread that drives this host. */
  public PolicyTable table() {
    return table;
  }
}
