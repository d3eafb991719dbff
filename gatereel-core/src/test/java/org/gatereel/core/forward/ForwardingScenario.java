package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.event.TargetFailure;

/**
 * A host with its callers and targets, what each of them has seen, and an oracle: one final answer
 * for each request, no second run of what may run once, true promises, whole streams in order.
 */
final class ForwardingScenario {
  /** The paths of the three kinds of requests. */
  static final String[] PATHS = {"/stream/x", "/safe/x", "/once/x"};

  private static final int LAST_EVENT = 12;

  private final ForwardWorld world = new ForwardWorld();
  private final List<Told> requests = new ArrayList<>();
  private final Map<ForwardWorld.SentCall, Work> works = new HashMap<>();
  private final Map<ForwardWorld.SentCall, Told> owners = new HashMap<>();
  private int names;

  /** What may happen next. */
  enum Happening {
    ASK,
    ACCEPT,
    REFUSE_FULL,
    REFUSE_MISDIRECTED,
    NEXT_EVENT,
    SKIP_EVENT,
    REPEAT_EVENT,
    HALF_EVENT_THEN_END,
    HALF_EVENT_THEN_RESET,
    END,
    ERROR,
    UNSIGNED,
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
  private static final class Told {
    final String path;
    final ForwardWorld.Caller caller = new ForwardWorld.Caller();
    Optional<Exchange> exchange = Optional.empty();
    int runs;
    boolean gone;

    Told(String path) {
      this.path = path;
    }

    boolean isOver() {
      return gone || caller.isOver();
    }
  }

  /** What a target has done with a call. */
  private static final class Work {
    boolean accepted;
    boolean over;
    long lastEvent;
  }

  /** Has something happen, and checks what every caller has seen so far. */
  void happen(Happening happening, int number) {
    step(happening, number);
    adoptNewCalls();
    requests.forEach(this::checkSoFar);
  }

  /** Lets all time-outs pass; every request must have its answer then, and nothing be left open. */
  void finish() {
    world.pass(2 * ForwardWorld.TIMEOUT_MILLIS);
    adoptNewCalls();
    for (Told told : requests) {
      assertTrue(told.isOver(), "a request was never answered");
    }
    assertEquals(0, world.forwarder.openExchanges());
    for (ForwardWorld.SentCall call : works.keySet()) {
      assertTrue(call.cancelled || works.get(call).over, "a connection was left open");
    }
  }

  private void step(Happening happening, int number) {
    Optional<ForwardWorld.SentCall> call = openCall(number);
    switch (happening) {
      case ASK -> ask(PATHS[number % PATHS.length]);
      case ACCEPT -> call.ifPresent(this::accept);
      case REFUSE_FULL -> call.ifPresent(open -> refuse(open, 503));
      case REFUSE_MISDIRECTED -> call.ifPresent(open -> refuse(open, 421));
      case NEXT_EVENT -> call.ifPresent(open -> event(open, 1));
      case SKIP_EVENT -> call.ifPresent(open -> event(open, 2));
      case REPEAT_EVENT -> call.ifPresent(this::repeatEvent);
      case HALF_EVENT_THEN_END -> call.ifPresent(this::halfEventThenEnd);
      case HALF_EVENT_THEN_RESET -> call.ifPresent(this::halfEvent);
      case END -> call.ifPresent(this::end);
      case ERROR -> call.ifPresent(open -> answer(open, 500, true));
      case UNSIGNED -> call.ifPresent(open -> answer(open, 200, false));
      case RESET -> call.ifPresent(open -> fail(open, TargetFailure.RESET));
      case NOT_CONNECTED -> call.ifPresent(this::notConnected);
      case CALLER_GOES -> callerGoes(number);
      case PROBE_FAILS -> answerProbe(false);
      case PROBE_ANSWERS -> answerProbe(true);
      case TIME_PASSES -> world.pass(number);
      case MUCH_TIME_PASSES -> world.pass(10L * number);
      case TARGET_RESTARTS -> restart(number);
      case TARGETS_LEAVE -> world.list(ForwardWorld.target("e1", ForwardWorld.ENGINES, "north"));
      case STORE_ANSWERS -> world.keeper.confirm(1, world.context.now());
      case STOP -> {
        if (number < 100) {
          world.forwarder.stopAll();
        }
      }
    }
  }

  private void ask(String path) {
    Told told = new Told(path);
    requests.add(told);
    int before = world.sent.size();
    told.exchange = world.ask(path, told.caller);
    for (ForwardWorld.SentCall call : world.sent.subList(before, world.sent.size())) {
      own(call, told);
    }
  }

  private void own(ForwardWorld.SentCall call, Told told) {
    works.put(call, new Work());
    owners.put(call, told);
  }

  /** A call that appeared belongs to the request whose exchange has it. */
  private void adoptNewCalls() {
    for (ForwardWorld.SentCall call : world.sent) {
      if (!works.containsKey(call)) {
        Told told =
            requests.stream()
                .filter(each -> each.exchange.isPresent() && isCurrent(each, call))
                .findFirst()
                .orElseThrow(() -> new AssertionError("a call of no request"));
        own(call, told);
      }
    }
  }

  private static boolean isCurrent(Told told, ForwardWorld.SentCall call) {
    Attempt attempt = told.exchange.orElseThrow().attempt();
    return attempt == call.listener;
  }

  private Optional<ForwardWorld.SentCall> openCall(int number) {
    List<ForwardWorld.SentCall> open =
        works.keySet().stream().filter(call -> !call.cancelled && !works.get(call).over).toList();
    List<ForwardWorld.SentCall> ordered = world.sent.stream().filter(open::contains).toList();
    return ordered.isEmpty() ? Optional.empty() : Optional.of(ordered.get(number % ordered.size()));
  }

  private void accept(ForwardWorld.SentCall call) {
    Work work = works.get(call);
    if (work.accepted) {
      return;
    }
    work.accepted = true;
    work.lastEvent = call.dispatch.lastEventId().orElse(0);
    owners.get(call).runs++;
    call.accepted();
    if (isStream(call)) {
      call.head(200, true);
    }
  }

  private boolean isStream(ForwardWorld.SentCall call) {
    return owners.get(call).path.startsWith("/stream/");
  }

  private void refuse(ForwardWorld.SentCall call, int status) {
    if (!works.get(call).accepted) {
      works.get(call).over = true;
      call.notRun(status);
    }
  }

  private void event(ForwardWorld.SentCall call, int step) {
    Work work = works.get(call);
    // Where the ids of a stream begin is nowhere said, so that no host can miss its first event.
    boolean first = work.lastEvent == 0;
    if (work.accepted && isStream(call) && work.lastEvent + step <= LAST_EVENT) {
      step = first ? 1 : step;
      work.lastEvent += step;
      call.event(work.lastEvent);
    }
  }

  private void repeatEvent(ForwardWorld.SentCall call) {
    Work work = works.get(call);
    if (work.accepted && isStream(call) && work.lastEvent > 0) {
      call.event(work.lastEvent);
    }
  }

  private void halfEventThenEnd(ForwardWorld.SentCall call) {
    if (works.get(call).accepted && isStream(call)) {
      works.get(call).over = true;
      call.listener.received("id: 9".getBytes(StandardCharsets.UTF_8));
      call.listener.ended(AnswerEnd.LAST_CHUNK);
    }
  }

  private void halfEvent(ForwardWorld.SentCall call) {
    if (works.get(call).accepted && isStream(call)) {
      call.listener.received("id: 9".getBytes(StandardCharsets.UTF_8));
      fail(call, TargetFailure.RESET);
    }
  }

  private void end(ForwardWorld.SentCall call) {
    accept(call);
    if (call.cancelled) {
      return;
    }
    if (!isStream(call)) {
      answer(call, 200, true);
      return;
    }
    Work work = works.get(call);
    while (work.lastEvent < LAST_EVENT && !call.cancelled) {
      event(call, 1);
    }
    if (!call.cancelled) {
      work.over = true;
      call.listener.ended(AnswerEnd.LAST_CHUNK);
    }
  }

  private void answer(ForwardWorld.SentCall call, int status, boolean authentic) {
    accept(call);
    if (isStream(call) || call.cancelled) {
      return;
    }
    works.get(call).over = true;
    call.listener.answered(new ForwardWorld.Head(status, false, authentic, false));
    call.listener.received("body".getBytes(StandardCharsets.UTF_8));
    call.listener.ended(AnswerEnd.LAST_CHUNK);
  }

  private void fail(ForwardWorld.SentCall call, TargetFailure failure) {
    works.get(call).over = true;
    world.fail(call, failure);
  }

  private void notConnected(ForwardWorld.SentCall call) {
    if (!works.get(call).accepted) {
      fail(call, TargetFailure.NOT_CONNECTED);
    }
  }

  private void callerGoes(int number) {
    if (requests.isEmpty()) {
      return;
    }
    Told told = requests.get(number % requests.size());
    if (!told.isOver() && told.exchange.isPresent()) {
      told.gone = true;
      told.exchange.get().callerGone();
    }
  }

  private void answerProbe(boolean alive) {
    if (!world.probes.isEmpty()) {
      world.probes.remove(0).listener().probed(alive);
    }
  }

  private void restart(int number) {
    List<String> ids =
        world.targets.all().stream().map(state -> state.description().id().value()).toList();
    if (!ids.isEmpty()) {
      world.restart(ids.get(number % ids.size()), "n" + ++names);
    }
  }

  private void checkSoFar(Told told) {
    ForwardWorld.Caller caller = told.caller;
    if (told.path.startsWith("/once/")) {
      assertTrue(told.runs <= 1, "a request that may run once ran " + told.runs + " times");
    }
    if (caller.refusal != null && caller.refusal.status() == 503) {
      boolean mayRunTwice = !told.path.startsWith("/once/");
      assertTrue(mayRunTwice || told.runs == 0, "not run was said of a request that ran");
    }
    if (told.path.startsWith("/stream/")) {
      checkStream(caller);
    }
  }

  private static void checkStream(ForwardWorld.Caller caller) {
    StringBuilder expected = new StringBuilder();
    long id = 0;
    while (expected.length() < caller.body.length()) {
      expected.append(ForwardWorld.eventText(++id));
    }
    assertEquals(expected.toString(), caller.body.toString());
    if (caller.finished) {
      assertEquals(LAST_EVENT, id, "a stream ended as complete before its last event");
    }
  }
}
