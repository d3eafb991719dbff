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
 * Drives one host with simulated callers and targets, and checks after each step: one final
 * response for each request, no second execution of unsafe requests, correct rejections, complete
 * streams in order, and no response ended as complete that its target did not complete.
 */
final class ForwardingScenario {
  /** Paths of a stream, a repeatable request and a request that may execute only once. */
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

  /** An action of a caller, a target, the store or the host. */
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

  /** A request, its caller and the number of its executions. */
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

  /** The state of a call at its target. */
  private static final class CallState {
    boolean accepted;
    boolean ended;

    /** Id of the last event; without any event sent, the id after which the target resumes. */
    long lastEvent;

    boolean hasEvents;
  }

  /** Performs a step and checks the invariants of all requests. */
  void perform(ScenarioStep step, int number) {
    performStep(step, number);
    adoptNewCalls();
    world.probes.forEach(probe -> targetReachable.putIfAbsent(probe, !isStopped(probe.target())));
    requests.forEach(this::checkInvariants);
  }

  /**
   * Lets all timeouts pass, and checks that every request has its response and nothing stays open.
   */
  void finish() {
    world.advanceTime(2 * ForwardWorld.TIMEOUT_MILLIS);
    adoptNewCalls();
    while (!world.probes.isEmpty()) {
      answerProbe(true);
    }
    adoptNewCalls();
    requests.forEach(this::checkInvariants);
    for (TrackedRequest request : requests) {
      assertTrue(request.isOver(), "request has no final response");
    }
    assertEquals(0, world.forwarder.openExchangeCount());
    for (ForwardWorld.SentCall call : callStates.keySet()) {
      assertTrue(
          call.cancelled || callStates.get(call).ended, "connection to target was left open");
    }
  }

  private void performStep(ScenarioStep step, int number) {
    Optional<ForwardWorld.SentCall> call = openCall(number);
    switch (step) {
      case ASK -> submit(PATHS[number % PATHS.length]);
      case ACCEPT -> call.ifPresent(this::accept);
      case REFUSE_FULL -> call.ifPresent(openCall -> reject(openCall, 503));
      case REFUSE_MISDIRECTED -> call.ifPresent(openCall -> reject(openCall, 421));
      case NEXT_EVENT -> call.ifPresent(openCall -> event(openCall, 1));
      case SKIP_EVENT -> call.ifPresent(openCall -> event(openCall, 2));
      case REPEAT_EVENT ->
          call.ifPresent(openCall -> eventAgain(openCall, callStates.get(openCall).lastEvent));
      case EARLIER_EVENT ->
          call.ifPresent(openCall -> eventAgain(openCall, callStates.get(openCall).lastEvent - 1));
      case START_ANEW -> call.ifPresent(openCall -> eventAgain(openCall, 1));
      case EVENT_WITHOUT_ID -> call.ifPresent(this::eventWithoutId);
      case COMMENT -> call.ifPresent(this::comment);
      case HALF_EVENT_THEN_END ->
          call.ifPresent(openCall -> halfEvent(openCall, ResponseEnd.LAST_CHUNK));
      case HALF_EVENT_THEN_RESET -> call.ifPresent(this::halfEventThenReset);
      case HALF_EVENT_THEN_CLOSE ->
          call.ifPresent(openCall -> halfEvent(openCall, ResponseEnd.CONNECTION_CLOSED));
      case END -> call.ifPresent(openCall -> end(openCall, ResponseEnd.LAST_CHUNK));
      case END_BY_CLOSE -> call.ifPresent(openCall -> end(openCall, ResponseEnd.CONNECTION_CLOSED));
      case DIE_BY_CLOSE -> call.ifPresent(this::closeAndStop);
      case ERROR ->
          call.ifPresent(openCall -> respond(openCall, ERROR_HEAD, ResponseEnd.LAST_CHUNK));
      case ERROR_BY_CLOSE ->
          call.ifPresent(openCall -> respond(openCall, ERROR_HEAD, ResponseEnd.CONNECTION_CLOSED));
      case OTHER_TYPE ->
          call.ifPresent(openCall -> respond(openCall, PLAIN_HEAD, ResponseEnd.LAST_CHUNK));
      case UNSIGNED ->
          call.ifPresent(openCall -> respond(openCall, UNSIGNED_HEAD, ResponseEnd.LAST_CHUNK));
      case LATE_CALLBACKS -> lateCallbacks();
      case RESET -> call.ifPresent(openCall -> fail(openCall, TargetFailure.RESET));
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
    TrackedRequest request = new TrackedRequest(path);
    requests.add(request);
    int before = world.sentCalls.size();
    request.exchange = world.submit(path, request.caller);
    for (ForwardWorld.SentCall call : world.sentCalls.subList(before, world.sentCalls.size())) {
      assignCall(call, request);
    }
  }

  private void assignCall(ForwardWorld.SentCall call, TrackedRequest request) {
    assertFalse(
        request.caller.body.toString().contains(WITHOUT_ID),
        "stream continued elsewhere after an event without an id");
    callStates.put(call, new CallState());
    owners.put(call, request);
  }

  /** Assigns each new call to the request whose exchange holds it. */
  private void adoptNewCalls() {
    for (ForwardWorld.SentCall call : world.sentCalls) {
      if (!callStates.containsKey(call)) {
        TrackedRequest request =
            requests.stream()
                .filter(each -> each.exchange.isPresent() && isCurrent(each, call))
                .findFirst()
                .orElseThrow(() -> new AssertionError("call belongs to no request"));
        assignCall(call, request);
      }
    }
  }

  private static boolean isCurrent(TrackedRequest request, ForwardWorld.SentCall call) {
    Attempt attempt = request.exchange.orElseThrow().attempt();
    return attempt == call.listener;
  }

  private Optional<ForwardWorld.SentCall> openCall(int number) {
    List<ForwardWorld.SentCall> openCalls =
        callStates.keySet().stream()
            .filter(call -> !call.cancelled && !callStates.get(call).ended)
            .toList();
    List<ForwardWorld.SentCall> ordered =
        world.sentCalls.stream().filter(openCalls::contains).toList();
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

  /** Accepts the request without a response yet. */
  private void acceptRequest(ForwardWorld.SentCall call) {
    CallState state = callStates.get(call);
    state.accepted = true;
    state.lastEvent = call.dispatch.lastEventId().orElse(0);
    owners.get(call).executions++;
    call.accept();
  }

  private boolean isStopped(TargetDescription target) {
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
    CallState state = callStates.get(call);
    // Any first id is valid, so that hosts cannot detect a gap before the first event.
    int increment = state.lastEvent == 0 ? 1 : step;
    if (isStreaming(call) && state.lastEvent + increment <= LAST_EVENT) {
      state.lastEvent += increment;
      state.hasEvents = true;
      call.event(state.lastEvent);
    }
  }

  /** An execution may repeat events that the caller has, but its ids must not decrease. */
  private void eventAgain(ForwardWorld.SentCall call, long id) {
    CallState state = callStates.get(call);
    if (!isStreaming(call) || id < 1 || id > state.lastEvent) {
      return;
    }
    boolean idsDecrease = state.hasEvents;
    state.lastEvent = id;
    state.hasEvents = true;
    call.event(id);
    assertEquals(
        idsDecrease, call.cancelled, "an attempt is cancelled exactly if its ids decrease");
  }

  /**
   * Only an execution whose last event is the caller's last event may forward an event without an
   * id.
   */
  private void eventWithoutId(ForwardWorld.SentCall call) {
    if (!isStreaming(call)) {
      return;
    }
    ForwardWorld.Caller caller = owners.get(call).caller;
    long lastIdOfCaller = lastId(caller.body);
    int before = caller.body.length();
    call.text(WITHOUT_ID + ++eventsWithoutId + "\n\n");
    if (caller.body.length() > before) {
      CallState state = callStates.get(call);
      assertEquals(
          lastIdOfCaller,
          state.lastEvent,
          "event without an id was forwarded at the wrong position");
      assertTrue(
          state.hasEvents || lastIdOfCaller == 0,
          "event without an id was forwarded before the position was known");
    }
  }

  private void comment(ForwardWorld.SentCall call) {
    if (isStreaming(call)) {
      call.text(COMMENT);
      assertFalse(call.cancelled, "comment cancelled the attempt");
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
    CallState state = callStates.get(call);
    while (state.lastEvent < LAST_EVENT && !call.cancelled) {
      event(call, 1);
    }
    if (!call.cancelled) {
      state.ended = true;
      call.listener.onEnd(end);
    }
  }

  /** Ends the target's process: its connections close normally, and later probes fail. */
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

  /** Sends a response that is not a stream, unless the target has started a stream. */
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

  /** Checks that late callbacks of cancelled or ended attempts are ignored. */
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
    assertEquals(
        before,
        describeObservations(),
        "late callback of a cancelled or ended attempt had an effect");
  }

  /** Describes what all callers and targets have received. */
  private String describeObservations() {
    StringBuilder seen = new StringBuilder();
    for (TrackedRequest request : requests) {
      ForwardWorld.Caller caller = request.caller;
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
    TrackedRequest request = requests.get(number % requests.size());
    if (!request.isOver() && request.exchange.isPresent()) {
      request.callerDisconnected = true;
      request.exchange.get().onCallerDisconnected();
    }
  }

  /** A probe that was sent to a stopped target fails, whatever happens later. */
  private void answerProbe(boolean alive) {
    if (!world.probes.isEmpty()) {
      ForwardWorld.SentProbe probe = world.probes.remove(0);
      boolean reached = targetReachable.getOrDefault(probe, !isStopped(probe.target()));
      ProbeResult resultOfRunningTarget = alive ? ProbeResult.ALIVE : ProbeResult.UNKNOWN;
      probe.listener().onResult(reached ? resultOfRunningTarget : ProbeResult.GONE);
    }
  }

  private void restart(int number) {
    List<String> ids =
        world.targets.all().stream().map(state -> state.description().id().value()).toList();
    if (!ids.isEmpty()) {
      world.restart(ids.get(number % ids.size()), "n" + ++replacementCount);
    }
  }

  private void checkInvariants(TrackedRequest request) {
    ForwardWorld.Caller caller = request.caller;
    if (request.path.startsWith("/once/")) {
      assertTrue(
          request.executions <= 1,
          "request that may execute once was executed " + request.executions + " times");
    }
    if (caller.rejection != null && caller.rejection.status() == 503) {
      boolean mayExecuteTwice = !request.path.startsWith("/once/");
      assertTrue(
          mayExecuteTwice || request.executions == 0,
          "executed request was rejected as not executed");
    }
    if (caller.hasStream) {
      checkStream(caller);
    } else {
      checkPlain(caller);
    }
  }

  private static void checkPlain(ForwardWorld.Caller caller) {
    if (caller.finished) {
      assertEquals(COMPLETE_BODY, caller.body.toString(), "incomplete response ended as complete");
    } else {
      assertEquals("", caller.body.toString());
    }
  }

  /**
   * Event ids start at 1 and increase by one; comments and events without ids may stand between
   * them.
   */
  private static void checkStream(ForwardWorld.Caller caller) {
    StringBuilder expected = new StringBuilder();
    long id = 0;
    for (String block : caller.body.toString().split("(?<=\n\n)")) {
      boolean numbered = !block.isEmpty() && !block.equals(COMMENT) && !isWithoutId(block);
      expected.append(numbered ? ForwardWorld.eventText(++id) : block);
    }
    assertEquals(expected.toString(), caller.body.toString());
    if (caller.finished) {
      assertEquals(LAST_EVENT, id, "stream ended as complete before its last event");
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
