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
import org.gatereel.core.statement.Announcement;
import org.gatereel.core.statement.Announcements;
import org.gatereel.core.statement.BackoffFact;
import org.gatereel.core.statement.LeavingFact;
import org.gatereel.core.statement.TargetFact;
import org.junit.jupiter.api.Test;

/** What targets say of leaving and of rest, on each way by which a request may reach them. */
class StatementForwardingTest {
  private static final Announcements LEAVES =
      Announcements.NONE.withLeaving(new Announcement.Announced<>(true));
  private static final long REST_MILLIS = 3_000;
  private static final Announcements RESTS =
      Announcements.NONE.withBackoffMillis(new Announcement.Announced<>(REST_MILLIS));
  private static final int REQUESTS = 40;

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();

  private static ForwardWorld.Head head(int status, boolean notRun, Announcements said) {
    return new ForwardWorld.Head(status, notRun, !notRun, false, said);
  }

  private static ForwardWorld.Head stream(Announcements said) {
    return new ForwardWorld.Head(200, false, true, true, said);
  }

  private SentCall ask(String path) {
    int before = world.sent.size();
    world.ask(path, new Caller());
    assertEquals(before + 1, world.sent.size());
    return world.last();
  }

  /** Has the first target that is chosen answer; returns its name. */
  private String told(ForwardWorld.Head head) {
    SentCall call = ask("/safe/x").accepted();
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
      call.answer(200, "ok");
    }
    return chosen;
  }

  private List<EventCode> events() {
    return world.context.takeActions().stream()
        .filter(action -> action instanceof Action.LogEvent)
        .map(action -> ((Action.LogEvent) action).code())
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

    assertEquals(0, world.forwarder.backoffs().millisUntilAllowed(new TargetId(gone)));
  }

  @Test
  void whatCannotBeReadIsLoggedOnceASecondAndChangesNothing() {
    Announcements odd =
        new Announcements(
            new Announcement.Unreadable<>("many"),
            new Announcement.Unreadable<>("soon"),
            new Announcement.Unreadable<>("later"),
            Map.of());
    events();
    Set<String> chosen = new HashSet<>();
    for (int number = 0; number < 50; number++) {
      chosen.add(told(head(200, false, odd)));
    }

    assertEquals(Set.of(told(head(200, false, Announcements.NONE))), chosen);
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
    world.pass(1_000);

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
    SentCall early = ask("/safe/x").accepted();
    SentCall late = ask("/safe/x").accepted();
    told(head(200, false, LEAVES));
    events();
    early.answer(200, "ok");
    assertFalse(events().contains(EventCode.LEAVING_CONTRADICTED), "it was sent before");
    world.forwarder.announcements().receive(description("c1"), Announcements.NONE, 0);
    assertFalse(
        events().contains(EventCode.LEAVING_CONTRADICTED), "nobody says whose answer it is");
    late.answer(200, "ok");

    world.ask("/safe/x", caller);

    assertEquals(Rejection.NO_TARGET, caller.refusal);
  }

  /** Another host heard it before this request was sent. */
  @Test
  void anAnswerThatDoesNotSayWhatAnotherHostHeardIsLogged() {
    listOnly("c1");
    world.pass(100);
    SentCall call = ask("/safe/x").accepted();
    world.loads.receive(report(new LeavingFact(new TargetId("c1"), world.context.now() - 50)));
    events();

    call.answer(200, "ok");

    assertTrue(events().contains(EventCode.LEAVING_CONTRADICTED));
    world.ask("/safe/x", caller);
    assertEquals(Rejection.NO_TARGET, caller.refusal);
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
    world.loads.receive(report(new LeavingFact(new TargetId("c1"), world.context.now() - 50)));

    assertFalse(chosen("/safe/x").contains("c1"));
  }

  /** Another host's rest is a reason to ask elsewhere first; here two others are as good. */
  @Test
  void aTargetThatRestsForAnotherHostIsAskedLast() {
    TargetId target = new TargetId("c1");
    long now = world.context.now();
    world.loads.receive(report(new BackoffFact(target, now, now + REST_MILLIS)));
    assertFalse(chosen("/safe/x").contains("c1"));

    listOnly("c1");

    assertEquals(Set.of("c1"), chosen("/safe/x"));
  }

  @Test
  void aRequestThatWaitsForItsConnectionGoesElsewhere() {
    world.ask("/safe/x", caller);
    SentCall waiting = world.last();
    world.targets.recordLeaving(new TargetId(waiting.target()));

    assertFalse(waiting.listener.maySend());
    waiting.listener.onFailure(TargetFailure.WITHDRAWN);

    assertEquals(2, world.sent.size());
    assertNotEquals(waiting.target(), world.last().target());
    assertTrue(world.last().listener.maySend());
    world.last().answer(200, "ok");
    assertTrue(caller.finished);
  }

  @Test
  void aStreamGoesOnWhereItRunsAndNotFromACopyThere() {
    world.ask("/stream/x", caller);
    SentCall run = world.last().accepted();
    run.listener.onHead(stream(LEAVES));
    run.event(1).event(2);
    assertFalse(run.cancelled);
    TargetDescription holder =
        world.targets.all().stream()
            .map(state -> state.description())
            .filter(target -> run.dispatch.copyTo().equals(Optional.of(target.address())))
            .findFirst()
            .orElseThrow();
    world.targets.recordLeaving(holder.id());

    world.fail(run, TargetFailure.RESET);

    String next = world.last().target();
    assertNotEquals(run.target(), next);
    assertNotEquals(holder.id().value(), next);
    assertTrue(world.last().dispatch.continueFrom().isEmpty());
  }

  @Test
  void aCallerWhoComesBackIsNotSentThere() {
    String leaving = ask("/stream/x").accepted().target();
    world.last().listener.onHead(stream(LEAVES));
    world.lastEventId = OptionalLong.of(7);

    for (int number = 0; number < REQUESTS; number++) {
      assertNotEquals(leaving, ask("/stream/x").target());
    }
  }

  @Test
  void whereAllTargetsLeaveCallersAreRefusedAtOnce() {
    listOnly("c1");
    told(head(200, false, LEAVES));

    world.ask("/safe/x", caller);

    assertEquals(Rejection.NO_TARGET, caller.refusal);
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
    world.ask("/stream/x", caller);
    String asked = world.promptQuestions.get(0).target();

    world.promptQuestions.get(0).heard().accept(LEAVES);
    world.promptQuestions.forEach(question -> question.answer().accept(Optional.empty()));

    assertNotEquals(asked, world.last().target());
    assertTrue(world.targets.find(new TargetId(asked)).orElseThrow().isLeaving());
  }

  // Rest.

  @Test
  void aTargetThatWantsRestGetsNothingUntilItsEnd() {
    String resting = told(head(503, true, RESTS));
    for (int passed = 0; passed < REST_MILLIS; passed += 100) {
      assertFalse(chosen("/safe/x").contains(resting));
      world.pass(100);
    }
    world.pass(100);

    assertTrue(chosen("/safe/x").contains(resting), "it is no emptier than the others");
  }

  @Test
  void theLongestOfSeveralHoldsAndALaterAnswerDoesNotEndIt() {
    SentCall early = ask("/safe/x").accepted();
    listOnly(early.target());
    SentCall next = ask("/safe/x").accepted();
    next.listener.onHead(head(503, true, RESTS));
    early.answer(200, "ok");

    world.pass(REST_MILLIS - 1);

    assertTrue(world.forwarder.backoffs().isBackingOff(new TargetId(early.target())));
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
    first.accepted().listener.onHead(head(503, true, RESTS));

    assertFalse(second.listener.maySend());
  }

  /** A request that can wait for the end is held, and one that cannot is told when to return. */
  @Test
  void whereAllTargetsRestTheRequestIsRefusedAtOnceWithTheTimeOfTheFirstEnd() {
    listOnly("c1");
    told(head(503, true, RESTS));
    world.pass(1_000);

    Caller later = new Caller();
    world.ask("/safe/x", later);

    assertEquals(Rejection.OVERLOADED, later.refusal);
    assertTrue(later.retryAfterMillis >= 2_000 && later.retryAfterMillis <= 2_400);
    world.pass(2_000);
    int before = world.sent.size();
    world.ask("/safe/x", caller);
    assertNull(caller.refusal);
    world.pass(100);
    assertEquals(before + 1, world.sent.size());
  }

  /** It would wait for a target that it may not be sent to a second time. */
  @Test
  void aCallThatTheOnlyTargetRefusedForRestIsRefusedAtOnce() {
    listOnly("c1");
    world.ask("/safe/x", caller);
    Announcements shortRest =
        Announcements.NONE.withBackoffMillis(new Announcement.Announced<>(1L));

    world.last().accepted().listener.onHead(head(503, true, shortRest));

    assertEquals(Rejection.OVERLOADED, caller.refusal);
    assertTrue(caller.retryAfterMillis >= 1);
  }

  /** All that was refused comes back together; the target would refuse it again. */
  @Test
  void afterTheEndOneIsSentFirst() {
    listOnly("c1");
    told(head(503, true, RESTS));
    world.pass(REST_MILLIS + 100);
    int before = world.sent.size();

    for (int number = 0; number < REQUESTS; number++) {
      world.ask("/safe/x", new Caller());
    }
    assertEquals(before + 1, world.sent.size());
    world.last().accepted().listener.onHead(head(503, true, RESTS));
    world.pass(500);

    assertEquals(before + 1, world.sent.size());
  }

  @Test
  void aCopyAtATargetThatRestsIsGivenUp() {
    world.ask("/stream/x", caller);
    SentCall run = world.last().accepted().head(200, true).event(1);
    TargetDescription holder =
        world.targets.all().stream()
            .map(state -> state.description())
            .filter(target -> run.dispatch.copyTo().equals(Optional.of(target.address())))
            .findFirst()
            .orElseThrow();
    world.forwarder.backoffs().observe(holder.id(), REST_MILLIS);

    world.fail(run, TargetFailure.RESET);

    assertNotEquals(holder.id().value(), world.last().target());
  }

  /** Both at once: a token would be lost on a target that must not be sent anything. */
  @Test
  void noTokenIsAskedForATargetThatRests() {
    for (String counter : new String[] {"c1", "c2", "c3"}) {
      world.forwarder.limits().announced().observe(new TargetId(counter), 5, 0);
      world.forwarder.backoffs().observe(new TargetId(counter), REST_MILLIS);
    }

    world.ask("/safe/x", caller);

    assertTrue(world.tokenQuestions.isEmpty());
    assertEquals(Rejection.OVERLOADED, caller.refusal);
  }
}
