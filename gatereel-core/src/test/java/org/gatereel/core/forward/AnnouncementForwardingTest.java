package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.LeavingFact;
import org.gatereel.core.statement.RestFact;
import org.gatereel.core.statement.Statement;
import org.gatereel.core.statement.Statements;
import org.gatereel.core.statement.TargetFact;
import org.junit.jupiter.api.Test;

/** What targets say of leaving and of rest, on each way by which a request may reach them. */
class AnnouncementForwardingTest {
  private static final Statements LEAVES = Statements.NONE.withLeaving(new Statement.Said<>(true));
  private static final long REST_MILLIS = 3_000;
  private static final Statements RESTS =
      Statements.NONE.withRestMillis(new Statement.Said<>(REST_MILLIS));
  private static final int REQUESTS = 40;

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();

  private static ForwardWorld.Head head(int status, boolean notRun, Statements said) {
    return new ForwardWorld.Head(status, notRun, !notRun, false, said);
  }

  private static ForwardWorld.Head stream(Statements said) {
    return new ForwardWorld.Head(200, false, true, true, said);
  }

  private SentCall ask(String path) {
    int before = world.sentCalls.size();
    world.submit(path, new Caller());
    assertEquals(before + 1, world.sentCalls.size());
    return world.lastCall();
  }

  /** Has the first target that is chosen answer; returns its name. */
  private String told(ForwardWorld.Head head) {
    SentCall call = ask("/safe/x").accept();
    call.listener.onHead(head);
    if (!head.declaresNotExecuted()) {
      call.listener.onEnd(ResponseEnd.LAST_CHUNK);
    }
    return call.target();
  }

  /** Returns who gets requests that are answered at once. */
  private Set<String> chosen(String path) {
    Set<String> chosen = new HashSet<>();
    for (int number = 0; number < REQUESTS; number++) {
      SentCall call = ask(path);
      chosen.add(call.target());
      call.respond(200, "ok");
    }
    return chosen;
  }

  private List<EventCode> events() {
    return world.context.takeActions().stream()
        .filter(action -> action instanceof Action.Note)
        .map(action -> ((Action.Note) action).code())
        .toList();
  }

  private TargetDescription description(String target) {
    return world.targets.find(new TargetId(target)).orElseThrow().description();
  }

  private void listOnly(String... names) {
    TargetDescription[] listed = new TargetDescription[names.length];
    for (int index = 0; index < names.length; index++) {
      listed[index] = description(names[index]);
    }
    world.list(listed);
  }

  // Leaving.

  @Test
  void aTargetThatSaysItLeavesGetsNothingNew() {
    String leaving = told(head(200, false, LEAVES));

    assertEquals(2, chosen("/safe/x").size());
    assertFalse(chosen("/safe/x").contains(leaving));
  }

  /** Whatever the answer is, it comes from the target that was meant. */
  @Test
  void errorsAndRefusalsSayItToo() {
    String first = told(head(500, false, LEAVES));
    assertFalse(chosen("/safe/x").contains(first));

    String second = told(head(503, true, LEAVES));
    assertNotEquals(first, second);
    assertFalse(chosen("/safe/x").contains(second));
  }

  /** At its address is another target, which may leave while the one that was meant has gone. */
  @Test
  void whoeverAnswersInPlaceOfTheTargetSaysNothingOfItsRest() {
    String gone = told(head(421, true, RESTS));

    assertEquals(0, world.forwarder.backoffs().millisTo(new TargetId(gone)));
  }

  @Test
  void whatCannotBeReadIsLoggedOnceASecondAndChangesNothing() {
    Statements odd =
        new Statements(
            new Statement.Unreadable<>("many"),
            new Statement.Unreadable<>("soon"),
            new Statement.Unreadable<>("later"),
            Map.of());
    events();
    Set<String> chosen = new HashSet<>();
    for (int number = 0; number < 50; number++) {
      chosen.add(told(head(200, false, odd)));
    }

    assertEquals(Set.of(told(head(200, false, Statements.NONE))), chosen);
    assertEquals(1, events().stream().filter(EventCode.STATEMENT_UNREADABLE::equals).count());
  }

  @Test
  void aListThatSaysReadyDoesNotUndoIt() {
    String leaving = told(head(200, false, LEAVES));

    listOnly("c1", "c2", "c3");

    assertFalse(chosen("/safe/x").contains(leaving));
  }

  /** Entries lapse while the store is away, and are back after it. */
  @Test
  void anEntryThatLapsedAndReturnsDoesNotUndoIt() {
    TargetDescription[] all = {description("c1"), description("c2"), description("c3")};
    String leaving = told(head(200, false, LEAVES));
    Set<String> others = new HashSet<>(Set.of("c1", "c2", "c3"));
    others.remove(leaving);
    listOnly(others.toArray(String[]::new));
    world.advanceTime(1_000);

    world.list(all);

    assertFalse(chosen("/safe/x").contains(leaving));
  }

  @Test
  void aNewRunUnderTheAddressIsInServiceAtOnce() {
    String leaving = told(head(200, false, LEAVES));

    world.restart(leaving, "next");

    assertTrue(chosen("/safe/x").contains("next"));
  }

  @Test
  void aTargetThatDoesNotSayItAnyMoreGetsNothingAndIsLogged() {
    listOnly("c1");
    SentCall early = ask("/safe/x").accept();
    SentCall late = ask("/safe/x").accept();
    told(head(200, false, LEAVES));
    events();
    early.respond(200, "ok");
    assertFalse(events().contains(EventCode.LEAVING_CONTRADICTED), "it was sent before");
    world.forwarder.announcements().receive(description("c1"), Statements.NONE, 0);
    assertFalse(
        events().contains(EventCode.LEAVING_CONTRADICTED), "nobody says whose answer it is");
    late.respond(200, "ok");

    world.submit("/safe/x", caller);

    assertEquals(Rejection.NO_TARGET, caller.rejection);
  }

  /** Another host heard it before this request was sent. */
  @Test
  void anAnswerThatDoesNotSayWhatAnotherHostHeardIsLogged() {
    listOnly("c1");
    world.advanceTime(100);
    SentCall call = ask("/safe/x").accept();
    world.loads.take(report(new LeavingFact(new TargetId("c1"), world.context.now() - 50)));
    events();

    call.respond(200, "ok");

    assertTrue(events().contains(EventCode.LEAVING_CONTRADICTED));
    world.submit("/safe/x", caller);
    assertEquals(Rejection.NO_TARGET, caller.rejection);
  }

  private static LoadReport report(TargetFact fact) {
    return new LoadReport(
        new HostId("h2"),
        new Address("10.0.1.2", 7_215),
        LoadScope.HOST,
        1,
        1,
        OptionalLong.empty(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of(),
        List.of(fact));
  }

  @Test
  void aHostThatIsToldByAnotherOneSendsNothing() {
    world.loads.take(report(new LeavingFact(new TargetId("c1"), world.context.now() - 50)));

    assertFalse(chosen("/safe/x").contains("c1"));
  }

  /** Another host's rest is a reason to ask elsewhere first; here two others are as good. */
  @Test
  void aTargetThatRestsForAnotherHostIsAskedLast() {
    TargetId target = new TargetId("c1");
    long now = world.context.now();
    world.loads.take(report(new RestFact(target, now, now + REST_MILLIS)));
    assertFalse(chosen("/safe/x").contains("c1"));

    listOnly("c1");

    assertEquals(Set.of("c1"), chosen("/safe/x"));
  }

  @Test
  void aRequestThatWaitsForItsConnectionGoesElsewhere() {
    world.submit("/safe/x", caller);
    SentCall waiting = world.lastCall();
    world.targets.leaving(new TargetId(waiting.target()));

    assertFalse(waiting.listener.maySend());
    waiting.listener.onFailure(TargetFailure.WITHDRAWN);

    assertEquals(2, world.sentCalls.size());
    assertNotEquals(waiting.target(), world.lastCall().target());
    assertTrue(world.lastCall().listener.maySend());
    world.lastCall().respond(200, "ok");
    assertTrue(caller.finished);
  }

  @Test
  void aStreamGoesOnWhereItRunsAndNotFromACopyThere() {
    world.submit("/stream/x", caller);
    SentCall run = world.lastCall().accept();
    run.listener.onHead(stream(LEAVES));
    run.event(1).event(2);
    assertFalse(run.cancelled);
    TargetDescription holder =
        world.targets.all().stream()
            .map(state -> state.description())
            .filter(target -> run.dispatch.copyTo().equals(Optional.of(target.address())))
            .findFirst()
            .orElseThrow();
    world.targets.leaving(holder.id());

    world.fail(run, TargetFailure.RESET);

    String next = world.lastCall().target();
    assertNotEquals(run.target(), next);
    assertNotEquals(holder.id().value(), next);
    assertTrue(world.lastCall().dispatch.continueFrom().isEmpty());
  }

  @Test
  void aCallerWhoComesBackIsNotSentThere() {
    String leaving = ask("/stream/x").accept().target();
    world.lastCall().listener.onHead(stream(LEAVES));
    world.lastEventId = OptionalLong.of(7);

    for (int number = 0; number < REQUESTS; number++) {
      assertNotEquals(leaving, ask("/stream/x").target());
    }
  }

  @Test
  void whereAllTargetsLeaveCallersAreRefusedAtOnce() {
    listOnly("c1");
    told(head(200, false, LEAVES));

    world.submit("/safe/x", caller);

    assertEquals(Rejection.NO_TARGET, caller.rejection);
  }

  @Test
  void anAnswerToAProbeSaysItToo() {
    TargetDescription target = description("c1");
    world.forwarder.port().probe(target, 100, result -> {});

    world.lastProbe().listener().onAnnouncements(LEAVES);

    assertFalse(chosen("/safe/x").contains("c1"));
  }

  @Test
  void anEngineThatIsAskedForItsPromptsSaysItToo() {
    world.promptPart = Optional.of("part");
    world.lastEventId = OptionalLong.of(7);
    world.submit("/stream/x", caller);
    String asked = world.promptQueries.get(0).target();

    world.promptQueries.get(0).announcements().accept(LEAVES);
    world.promptQueries.forEach(question -> question.response().accept(Optional.empty()));

    assertNotEquals(asked, world.lastCall().target());
    assertTrue(world.targets.find(new TargetId(asked)).orElseThrow().isLeaving());
  }

  // Rest.

  @Test
  void aTargetThatWantsRestGetsNothingUntilItsEnd() {
    String resting = told(head(503, true, RESTS));
    for (int passed = 0; passed < REST_MILLIS; passed += 100) {
      assertFalse(chosen("/safe/x").contains(resting));
      world.advanceTime(100);
    }
    world.advanceTime(100);

    assertTrue(chosen("/safe/x").contains(resting), "it is no emptier than the others");
  }

  @Test
  void theLongestOfSeveralHoldsAndALaterAnswerDoesNotEndIt() {
    SentCall early = ask("/safe/x").accept();
    listOnly(early.target());
    SentCall next = ask("/safe/x").accept();
    next.listener.onHead(head(503, true, RESTS));
    early.respond(200, "ok");

    world.advanceTime(REST_MILLIS - 1);

    assertTrue(world.forwarder.backoffs().isResting(new TargetId(early.target())));
  }

  @Test
  void aRefusalWithoutTheTargetsPromiseBindsToo() {
    String resting = told(head(503, false, RESTS));

    assertFalse(chosen("/safe/x").contains(resting));
  }

  @Test
  void whatWasChosenBeforeIsNotSentAfter() {
    SentCall first = ask("/safe/x");
    listOnly(first.target());
    SentCall second = ask("/safe/x");
    first.accept().listener.onHead(head(503, true, RESTS));

    assertFalse(second.listener.maySend());
  }

  /** A request that can wait for the end is held, and one that cannot is told when to return. */
  @Test
  void whereAllTargetsRestTheRequestIsRefusedAtOnceWithTheTimeOfTheFirstEnd() {
    listOnly("c1");
    told(head(503, true, RESTS));
    world.advanceTime(1_000);

    Caller later = new Caller();
    world.submit("/safe/x", later);

    assertEquals(Rejection.OVERLOADED, later.rejection);
    assertTrue(later.retryAfterMillis >= 2_000 && later.retryAfterMillis <= 2_400);
    world.advanceTime(2_000);
    int before = world.sentCalls.size();
    world.submit("/safe/x", caller);
    assertNull(caller.rejection);
    world.advanceTime(100);
    assertEquals(before + 1, world.sentCalls.size());
  }

  /** It would wait for a target that it may not be sent to a second time. */
  @Test
  void aCallThatTheOnlyTargetRefusedForRestIsRefusedAtOnce() {
    listOnly("c1");
    world.submit("/safe/x", caller);
    Statements shortRest = Statements.NONE.withRestMillis(new Statement.Said<>(1L));

    world.lastCall().accept().listener.onHead(head(503, true, shortRest));

    assertEquals(Rejection.OVERLOADED, caller.rejection);
    assertTrue(caller.retryAfterMillis >= 1);
  }

  /** All that was refused comes back together; the target would refuse it again. */
  @Test
  void afterTheEndOneIsSentFirst() {
    listOnly("c1");
    told(head(503, true, RESTS));
    world.advanceTime(REST_MILLIS + 100);
    int before = world.sentCalls.size();

    for (int number = 0; number < REQUESTS; number++) {
      world.submit("/safe/x", new Caller());
    }
    assertEquals(before + 1, world.sentCalls.size());
    world.lastCall().accept().listener.onHead(head(503, true, RESTS));
    world.advanceTime(500);

    assertEquals(before + 1, world.sentCalls.size());
  }

  @Test
  void aCopyAtATargetThatRestsIsGivenUp() {
    world.submit("/stream/x", caller);
    SentCall run = world.lastCall().accept().respondHead(200, true).event(1);
    TargetDescription holder =
        world.targets.all().stream()
            .map(state -> state.description())
            .filter(target -> run.dispatch.copyTo().equals(Optional.of(target.address())))
            .findFirst()
            .orElseThrow();
    world.forwarder.backoffs().hear(holder.id(), REST_MILLIS);

    world.fail(run, TargetFailure.RESET);

    assertNotEquals(holder.id().value(), world.lastCall().target());
  }

  /** Both at once: a token would be lost on a target that must not be sent anything. */
  @Test
  void noTokenIsAskedForATargetThatRests() {
    for (String counter : new String[] {"c1", "c2", "c3"}) {
      world.forwarder.limits().book().hear(new TargetId(counter), 5, 0);
      world.forwarder.backoffs().hear(new TargetId(counter), REST_MILLIS);
    }

    world.submit("/safe/x", caller);

    assertTrue(world.tokenRequests.isEmpty());
    assertEquals(Rejection.OVERLOADED, caller.rejection);
  }
}
