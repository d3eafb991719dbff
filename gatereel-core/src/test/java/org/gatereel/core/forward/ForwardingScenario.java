package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;

/**
 * A host with its callers and targets, what each of them has seen, and an oracle: one final answer
 * for each request, no second run of what may run once, true promises, whole streams in order, and
 * no answer ended as complete that no target ended so.
 */
final class ForwardingScenario {
  /** The paths of the three kinds of requests. */
  static final String[] PATHS = {"/stream/x", "/safe/x", "/once/x"};

  private static final Pattern ID = Pattern.compile("(?m)^id: ([0-9]+)$");
  private static final int LAST_EVENT = 12;
  private static final String COMPLETE_BODY = "body";
  private static final String WITHOUT_ID = "data: without id ";
  private static final String COMMENT = ": still here\n\n";
  private static final ForwardWorld.Head ERROR_HEAD =
      new ForwardWorld.Head(500, false, true, false);
  private static final ForwardWorld.Head PLAIN_HEAD =
      new ForwardWorld.Head(200, false, true, false);
  private static final ForwardWorld.Head UNSIGNED_HEAD =
      new ForwardWorld.Head(200, false, false, false);

  private final ForwardWorld world = new ForwardWorld();
  private final List<TrackedRequest> requests = new ArrayList<>();
  private final Map<ForwardWorld.SentCall, CallState> callStates = new HashMap<>();
  private final Map<ForwardWorld.SentCall, TrackedRequest> owners = new HashMap<>();
  private final Set<TargetId> stoppedTargets = new HashSet<>();
  private final Map<ForwardWorld.SentProbe, Boolean> targetReachable = new IdentityHashMap<>();
  private int replacementCount;
  private int eventsWithoutId;

  /** What may happen next. */
  enum ScenarioStep {
    ASK,
    ACCEPT,
    REFUSE_FULL,
    REFUSE_MISDIRECTED,
    NEXT_EVENT,
    SKIP_EVENT,
    REPEAT_EVENT,
    EARLIER_EVENT,
    START_ANEW,
    EVENT_WITHOUT_ID,
    COMMENT,
    HALF_EVENT_THEN_END,
    HALF_EVENT_THEN_RESET,
    HALF_EVENT_THEN_CLOSE,
    END,
    END_BY_CLOSE,
    DIE_BY_CLOSE,
    ERROR,
    ERROR_BY_CLOSE,
    OTHER_TYPE,
    UNSIGNED,
    LATE_CALLBACKS,
    RESET,
    NOT_CONNECTED,
    CALLER_GOES,
    PROBE_FAILS,
    PROBE_ANSWERS,
    TIME_PASSES,
    MUCH_TIME_PASSES,
    TARGET_RESTARTS,
    TARGETS_LEAVE,
    STORE_ANSWERS,
    STOP
  }

  /** One request with what its targets did. */
  private static final class TrackedRequest {
    final String path;
    final ForwardWorld.Caller caller = new ForwardWorld.Caller();
    Optional<Exchange> exchange = Optional.empty();
    int executions;
    boolean callerDisconnected;

    TrackedRequest(String path) {
      this.path = path;
    }

    boolean isOver() {
      return callerDisconnected || caller.isFinal();
    }
  }

  /** What a target has done with a call. */
  private static final class CallState {
    boolean accepted;
    boolean ended;

    /** Where the run stands; it may not have sent any event yet. */
    long lastEvent;

    boolean hasEvents;
  }

  /** Has something happen, and checks what every caller has seen so far. */
  void perform(ScenarioStep happening, int number) {
    step(happening, number);
    adoptNewCalls();
    world.probes.forEach(probe -> targetReachable.putIfAbsent(probe, !isGone(probe.target())));
    requests.forEach(this::checkInvariants);
  }

  /** Lets all time-outs pass; every request must have its answer then, and nothing be left open. */
  void finish() {
    world.advanceTime(2 * ForwardWorld.TIMEOUT_MILLIS);
    adoptNewCalls();
    while (!world.probes.isEmpty()) {
      answerProbe(true);
    }
    adoptNewCalls();
    requests.forEach(this::checkInvariants);
    for (TrackedRequest told : requests) {
      assertTrue(told.isOver(), "a request was never answered");
    }
    assertEquals(0, world.forwarder.openExchangeCount());
    for (ForwardWorld.SentCall call : callStates.keySet()) {
      assertTrue(call.cancelled || callStates.get(call).ended, "a connection was left open");
    }
  }

  private void step(ScenarioStep happening, int number) {
    Optional<ForwardWorld.SentCall> call = openCall(number);
    switch (happening) {
      case ASK -> submit(PATHS[number % PATHS.length]);
      case ACCEPT -> call.ifPresent(this::accept);
      case REFUSE_FULL -> call.ifPresent(open -> reject(open, 503));
      case REFUSE_MISDIRECTED -> call.ifPresent(open -> reject(open, 421));
      case NEXT_EVENT -> call.ifPresent(open -> event(open, 1));
      case SKIP_EVENT -> call.ifPresent(open -> event(open, 2));
      case REPEAT_EVENT -> call.ifPresent(open -> eventAgain(open, callStates.get(open).lastEvent));
      case EARLIER_EVENT -> call.ifPresent(open -> eventAgain(open, callStates.get(open).lastEvent - 1));
      case START_ANEW -> call.ifPresent(open -> eventAgain(open, 1));
      case EVENT_WITHOUT_ID -> call.ifPresent(this::eventWithoutId);
      case COMMENT -> call.ifPresent(this::comment);
      case HALF_EVENT_THEN_END -> call.ifPresent(open -> halfEvent(open, ResponseEnd.LAST_CHUNK));
      case HALF_EVENT_THEN_RESET -> call.ifPresent(this::halfEventThenReset);
      case HALF_EVENT_THEN_CLOSE ->
          call.ifPresent(open -> halfEvent(open, ResponseEnd.CONNECTION_CLOSED));
      case END -> call.ifPresent(open -> end(open, ResponseEnd.LAST_CHUNK));
      case END_BY_CLOSE -> call.ifPresent(open -> end(open, ResponseEnd.CONNECTION_CLOSED));
      case DIE_BY_CLOSE -> call.ifPresent(this::closeAndStop);
      case ERROR -> call.ifPresent(open -> respond(open, ERROR_HEAD, ResponseEnd.LAST_CHUNK));
      case ERROR_BY_CLOSE ->
          call.ifPresent(open -> respond(open, ERROR_HEAD, ResponseEnd.CONNECTION_CLOSED));
      case OTHER_TYPE -> call.ifPresent(open -> respond(open, PLAIN_HEAD, ResponseEnd.LAST_CHUNK));
      case UNSIGNED -> call.ifPresent(open -> respond(open, UNSIGNED_HEAD, ResponseEnd.LAST_CHUNK));
      case LATE_CALLBACKS -> lateCallbacks();
      case RESET -> call.ifPresent(open -> fail(open, TargetFailure.RESET));
      case NOT_CONNECTED -> call.ifPresent(this::notConnected);
      case CALLER_GOES -> disconnectCaller(number);
      case PROBE_FAILS -> answerProbe(false);
      case PROBE_ANSWERS -> answerProbe(true);
      case TIME_PASSES -> world.advanceTime(number);
      case MUCH_TIME_PASSES -> world.advanceTime(10L * number);
      case TARGET_RESTARTS -> restart(number);
      case TARGETS_LEAVE -> world.list(ForwardWorld.target("e1", ForwardWorld.ENGINES, "north"));
      case STORE_ANSWERS -> world.configurationHolder.confirm(1, world.context.now());
      case STOP -> {
        if (number < 100) {
          world.forwarder.stopAll();
        }
      }
    }
  }

  private void submit(String path) {
    TrackedRequest told = new TrackedRequest(path);
    requests.add(told);
    int before = world.sentCalls.size();
    told.exchange = world.submit(path, told.caller);
    for (ForwardWorld.SentCall call : world.sentCalls.subList(before, world.sentCalls.size())) {
      assignCall(call, told);
    }
  }

  private void assignCall(ForwardWorld.SentCall call, TrackedRequest told) {
    assertFalse(
        told.caller.body.toString().contains(WITHOUT_ID),
        "a stream went on elsewhere after an event without an id");
    callStates.put(call, new CallState());
    owners.put(call, told);
  }

  /** A call that appeared belongs to the request whose exchange has it. */
  private void adoptNewCalls() {
    for (ForwardWorld.SentCall call : world.sentCalls) {
      if (!callStates.containsKey(call)) {
        TrackedRequest told =
            requests.stream()
                .filter(each -> each.exchange.isPresent() && isCurrent(each, call))
                .findFirst()
                .orElseThrow(() -> new AssertionError("a call of no request"));
        assignCall(call, told);
      }
    }
  }

  private static boolean isCurrent(TrackedRequest told, ForwardWorld.SentCall call) {
    Attempt attempt = told.exchange.orElseThrow().attempt();
    return attempt == call.listener;
  }

  private Optional<ForwardWorld.SentCall> openCall(int number) {
    List<ForwardWorld.SentCall> open =
        callStates.keySet().stream().filter(call -> !call.cancelled && !callStates.get(call).ended).toList();
    List<ForwardWorld.SentCall> ordered = world.sentCalls.stream().filter(open::contains).toList();
    return ordered.isEmpty() ? Optional.empty() : Optional.of(ordered.get(number % ordered.size()));
  }

  private void accept(ForwardWorld.SentCall call) {
    if (!callStates.get(call).accepted) {
      acceptRequest(call);
      if (isStream(call)) {
        call.respondHead(200, true);
      }
    }
  }

  /** The target has the request, and has not answered yet. */
  private void acceptRequest(ForwardWorld.SentCall call) {
    CallState work = callStates.get(call);
    work.accepted = true;
    work.lastEvent = call.dispatch.lastEventId().orElse(0);
    owners.get(call).executions++;
    call.accept();
  }

  private boolean isGone(TargetDescription target) {
    return stoppedTargets.contains(target.id());
  }

  private boolean isStream(ForwardWorld.SentCall call) {
    return owners.get(call).path.startsWith("/stream/");
  }

  private void reject(ForwardWorld.SentCall call, int status) {
    if (!callStates.get(call).accepted) {
      callStates.get(call).ended = true;
      call.rejectNotExecuted(status);
    }
  }

  private boolean isStreaming(ForwardWorld.SentCall call) {
    return callStates.get(call).accepted && isStream(call);
  }

  private void event(ForwardWorld.SentCall call, int step) {
    CallState work = callStates.get(call);
    // Where the ids of a stream begin is nowhere said, so that no host can miss its first event.
    int taken = work.lastEvent == 0 ? 1 : step;
    if (isStreaming(call) && work.lastEvent + taken <= LAST_EVENT) {
      work.lastEvent += taken;
      work.hasEvents = true;
      call.event(work.lastEvent);
    }
  }

  /** A run may begin with what the caller has, but must never go back. */
  private void eventAgain(ForwardWorld.SentCall call, long id) {
    CallState work = callStates.get(call);
    if (!isStreaming(call) || id < 1 || id > work.lastEvent) {
      return;
    }
    boolean goesBack = work.hasEvents;
    work.lastEvent = id;
    work.hasEvents = true;
    call.event(id);
    assertEquals(goesBack, call.cancelled, "a run that went back is given up, and no other");
  }

  /** Such an event may be passed on only by a run that stands where the caller does. */
  private void eventWithoutId(ForwardWorld.SentCall call) {
    if (!isStreaming(call)) {
      return;
    }
    ForwardWorld.Caller caller = owners.get(call).caller;
    long callerStandsAt = lastId(caller.body);
    int before = caller.body.length();
    call.text(WITHOUT_ID + ++eventsWithoutId + "\n\n");
    if (caller.body.length() > before) {
      CallState work = callStates.get(call);
      assertEquals(callerStandsAt, work.lastEvent, "an event without an id was misplaced");
      assertTrue(work.hasEvents || callerStandsAt == 0, "a run had not shown where it stands");
    }
  }

  private void comment(ForwardWorld.SentCall call) {
    if (isStreaming(call)) {
      call.text(COMMENT);
      assertFalse(call.cancelled, "a comment ended a run");
    }
  }

  private void halfEvent(ForwardWorld.SentCall call, ResponseEnd end) {
    if (isStreaming(call)) {
      callStates.get(call).ended = true;
      call.text("id: 9");
      call.listener.onEnd(end);
    }
  }

  private void halfEventThenReset(ForwardWorld.SentCall call) {
    if (isStreaming(call)) {
      call.text("id: 9");
      fail(call, TargetFailure.RESET);
    }
  }

  private void end(ForwardWorld.SentCall call, ResponseEnd end) {
    if (!isStream(call)) {
      respond(call, PLAIN_HEAD, end);
      return;
    }
    accept(call);
    CallState work = callStates.get(call);
    while (work.lastEvent < LAST_EVENT && !call.cancelled) {
      event(call, 1);
    }
    if (!call.cancelled) {
      work.ended = true;
      call.listener.onEnd(end);
    }
  }

  /** The target's process ends, which closes its connections in order; no probe reaches it then. */
  private void closeAndStop(ForwardWorld.SentCall call) {
    accept(call);
    if (call.cancelled) {
      return;
    }
    callStates.get(call).ended = true;
    stoppedTargets.add(call.dispatch.target().id());
    if (!isStream(call)) {
      call.listener.onHead(PLAIN_HEAD);
      call.text(COMPLETE_BODY.substring(1));
    }
    call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
  }

  /** Answers without a stream; a target that has begun one can't any more. */
  private void respond(ForwardWorld.SentCall call, ForwardWorld.Head head, ResponseEnd end) {
    if (isStreaming(call)) {
      return;
    }
    if (!callStates.get(call).accepted) {
      acceptRequest(call);
    }
    callStates.get(call).ended = true;
    call.listener.onHead(head);
    call.text(COMPLETE_BODY);
    call.listener.onEnd(end);
  }

  /** What still comes of attempts that were given up, or have ended, must change nothing. */
  private void lateCallbacks() {
    String before = describeObservations();
    for (ForwardWorld.SentCall call : List.copyOf(world.sentCalls)) {
      if (call.cancelled || callStates.get(call).ended) {
        call.accept();
        call.respondHead(200, true);
        call.event(callStates.get(call).lastEvent + 1);
        call.respondHead(500, false);
        call.text(COMPLETE_BODY);
        call.listener.onEnd(ResponseEnd.LAST_CHUNK);
        call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
        call.listener.onFailure(TargetFailure.RESET);
      }
    }
    assertEquals(before, describeObservations(), "something late of a given-up attempt was taken in");
  }

  /** What all callers and targets have seen so far. */
  private String describeObservations() {
    StringBuilder seen = new StringBuilder();
    for (TrackedRequest told : requests) {
      ForwardWorld.Caller caller = told.caller;
      seen.append(caller.status).append(caller.isFinal()).append(caller.body).append('|');
    }
    world.sentCalls.forEach(call -> seen.append(call.target()).append(call.cancelled));
    return seen.append(world.probes.size()).toString();
  }

  private void fail(ForwardWorld.SentCall call, TargetFailure failure) {
    callStates.get(call).ended = true;
    world.fail(call, failure);
  }

  private void notConnected(ForwardWorld.SentCall call) {
    if (!callStates.get(call).accepted) {
      fail(call, TargetFailure.NOT_CONNECTED);
    }
  }

  private void disconnectCaller(int number) {
    if (requests.isEmpty()) {
      return;
    }
    TrackedRequest told = requests.get(number % requests.size());
    if (!told.isOver() && told.exchange.isPresent()) {
      told.callerDisconnected = true;
      told.exchange.get().onCallerDisconnected();
    }
  }

  /** A target whose process was gone when it was asked never answers, whatever comes later. */
  private void answerProbe(boolean alive) {
    if (!world.probes.isEmpty()) {
      ForwardWorld.SentProbe probe = world.probes.remove(0);
      boolean reached = targetReachable.getOrDefault(probe, !isGone(probe.target()));
      ProbeResult ofTheLiving = alive ? ProbeResult.ALIVE : ProbeResult.UNKNOWN;
      probe.listener().onResult(reached ? ofTheLiving : ProbeResult.GONE);
    }
  }

  private void restart(int number) {
    List<String> ids =
        world.targets.all().stream().map(state -> state.description().id().value()).toList();
    if (!ids.isEmpty()) {
      world.restart(ids.get(number % ids.size()), "n" + ++replacementCount);
    }
  }

  private void checkInvariants(TrackedRequest told) {
    ForwardWorld.Caller caller = told.caller;
    if (told.path.startsWith("/once/")) {
      assertTrue(told.executions <= 1, "a request that may run once ran " + told.executions + " times");
    }
    if (caller.rejection != null && caller.rejection.status() == 503) {
      boolean mayRunTwice = !told.path.startsWith("/once/");
      assertTrue(mayRunTwice || told.executions == 0, "not run was said of a request that ran");
    }
    if (caller.hasStream) {
      checkStream(caller);
    } else {
      checkPlain(caller);
    }
  }

  private static void checkPlain(ForwardWorld.Caller caller) {
    if (caller.finished) {
      assertEquals(COMPLETE_BODY, caller.body.toString(), "an answer ended as complete and is not");
    } else {
      assertEquals("", caller.body.toString());
    }
  }

  /** The ids of a stream begin at 1 and rise by one, whatever stands between its events. */
  private static void checkStream(ForwardWorld.Caller caller) {
    StringBuilder expected = new StringBuilder();
    long id = 0;
    for (String block : caller.body.toString().split("(?<=\n\n)")) {
      boolean numbered = !block.isEmpty() && !block.equals(COMMENT) && !isWithoutId(block);
      expected.append(numbered ? ForwardWorld.eventText(++id) : block);
    }
    assertEquals(expected.toString(), caller.body.toString());
    if (caller.finished) {
      assertEquals(LAST_EVENT, id, "a stream ended as complete before its last event");
    }
  }

  private static boolean isWithoutId(String block) {
    return block.startsWith(WITHOUT_ID) && block.endsWith("\n\n");
  }

  private static long lastId(CharSequence body) {
    long last = 0;
    Matcher ids = ID.matcher(body);
    while (ids.find()) {
      last = Long.parseLong(ids.group(1));
    }
    return last;
  }
}
