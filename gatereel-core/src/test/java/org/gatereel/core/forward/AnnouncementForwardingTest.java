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

/**
 * Effects of announcements that a target is leaving or requests backoff, on each path by which a
 * request may reach it.
 */
class AnnouncementForwardingTest {
  private static final Announcements LEAVING =
      Announcements.NONE.withLeaving(new Announcement.Announced<>(true));
  private static final long BACKOFF_MILLIS = 3_000;
  private static final Announcements BACKING_OFF =
      Announcements.NONE.withBackoffMillis(new Announcement.Announced<>(BACKOFF_MILLIS));
  private static final int REQUESTS = 40;

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();

  private static ForwardWorld.Head head(
      int status, boolean notExecuted, Announcements announcements) {
    return new ForwardWorld.Head(status, notExecuted, !notExecuted, false, announcements);
  }

  private static ForwardWorld.Head stream(Announcements announcements) {
    return new ForwardWorld.Head(200, false, true, true, announcements);
  }

  private SentCall submit(String path) {
    int before = world.sentCalls.size();
    world.submit(path, new Caller());
    assertEquals(before + 1, world.sentCalls.size());
    return world.lastCall();
  }

  /**
   * Submits a request, sends the given head from the chosen target, and returns the name of the
   * target.
   */
  private String respondWith(ForwardWorld.Head head) {
    SentCall call = submit("/safe/x").accept();
    call.listener.onHead(head);
    if (!head.declaresNotExecuted()) {
      call.listener.onEnd(ResponseEnd.LAST_CHUNK);
    }
    return call.target();
  }

  /** Returns the targets that are chosen for requests which succeed at once. */
  private Set<String> chosenTargets(String path) {
    Set<String> chosen = new HashSet<>();
    for (int number = 0; number < REQUESTS; number++) {
      SentCall call = submit(path);
      chosen.add(call.target());
      call.respond(200, "ok");
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
  void leavingTargetReceivesNoNewRequests() {
    String leaving = respondWith(head(200, false, LEAVING));

    assertEquals(2, chosenTargets("/safe/x").size());
    assertFalse(chosenTargets("/safe/x").contains(leaving));
  }

  /** Any authentic response can carry announcements, whatever its status. */
  @Test
  void errorsAndRejectionsCanAnnounceLeaving() {
    String first = respondWith(head(500, false, LEAVING));
    assertFalse(chosenTargets("/safe/x").contains(first));

    String second = respondWith(head(503, true, LEAVING));
    assertNotEquals(first, second);
    assertFalse(chosenTargets("/safe/x").contains(second));
  }

  /** A response with status 421 comes from another target at the same address. */
  @Test
  void misdirectedResponseDoesNotSetBackoffOfTarget() {
    String misdirectedTarget = respondWith(head(421, true, BACKING_OFF));

    assertEquals(0, world.forwarder.backoffs().millisUntilAllowed(new TargetId(misdirectedTarget)));
  }

  @Test
  void unreadableAnnouncementsAreIgnoredAndLoggedOncePerSecond() {
    Announcements unreadable =
        new Announcements(
            new Announcement.Unreadable<>("many"),
            new Announcement.Unreadable<>("soon"),
            new Announcement.Unreadable<>("later"),
            Map.of());
    events();
    Set<String> chosen = new HashSet<>();
    for (int number = 0; number < 50; number++) {
      chosen.add(respondWith(head(200, false, unreadable)));
    }

    assertEquals(Set.of(respondWith(head(200, false, Announcements.NONE))), chosen);
    assertEquals(1, events().stream().filter(EventCode.STATEMENT_UNREADABLE::equals).count());
  }

  @Test
  void listedReadyStateDoesNotRevokeLeaving() {
    String leaving = respondWith(head(200, false, LEAVING));

    listOnly("c1", "c2", "c3");

    assertFalse(chosenTargets("/safe/x").contains(leaving));
  }

  /** Entries expire during a store outage and return after it. */
  @Test
  void anEntryThatLapsedAndReturnsDoesNotUndoIt() {
    TargetDescription[] all = {description("c1"), description("c2"), description("c3")};
    String leaving = respondWith(head(200, false, LEAVING));
    Set<String> others = new HashSet<>(Set.of("c1", "c2", "c3"));
    others.remove(leaving);
    listOnly(others.toArray(String[]::new));
    world.advanceTime(1_000);

    world.list(all);

    assertFalse(chosenTargets("/safe/x").contains(leaving));
  }

  @Test
  void newTargetAtSameAddressIsUsableAtOnce() {
    String leaving = respondWith(head(200, false, LEAVING));

    world.restart(leaving, "next");

    assertTrue(chosenTargets("/safe/x").contains("next"));
  }

  @Test
  void contradictedLeavingStaysInEffectAndIsLogged() {
    listOnly("c1");
    SentCall early = submit("/safe/x").accept();
    SentCall late = submit("/safe/x").accept();
    respondWith(head(200, false, LEAVING));
    events();
    early.respond(200, "ok");
    assertFalse(
        events().contains(EventCode.LEAVING_CONTRADICTED),
        "request was sent before the announcement");
    world.forwarder.announcements().receive(description("c1"), Announcements.NONE, 0);
    assertFalse(
        events().contains(EventCode.LEAVING_CONTRADICTED),
        "response is not attributable to the target");
    late.respond(200, "ok");

    world.submit("/safe/x", caller);

    assertEquals(Rejection.NO_TARGET, caller.rejection);
  }

  /** The other host received the announcement before this request was sent. */
  @Test
  void responseContradictingReportOfOtherHostIsLogged() {
    listOnly("c1");
    world.advanceTime(100);
    SentCall call = submit("/safe/x").accept();
    world.loads.receive(report(new LeavingFact(new TargetId("c1"), world.context.now() - 50)));
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
  void leavingReportedByOtherHostIsRespected() {
    world.loads.receive(report(new LeavingFact(new TargetId("c1"), world.context.now() - 50)));

    assertFalse(chosenTargets("/safe/x").contains("c1"));
  }

  /** A backoff reported by another host only lowers the priority of the target. */
  @Test
  void backoffReportedByOtherHostMakesTargetLastChoice() {
    TargetId target = new TargetId("c1");
    long now = world.context.now();
    world.loads.receive(report(new BackoffFact(target, now, now + BACKOFF_MILLIS)));
    assertFalse(chosenTargets("/safe/x").contains("c1"));

    listOnly("c1");

    assertEquals(Set.of("c1"), chosenTargets("/safe/x"));
  }

  @Test
  void requestWaitingForConnectionToLeavingTargetMoves() {
    world.submit("/safe/x", caller);
    SentCall waiting = world.lastCall();
    world.targets.recordLeaving(new TargetId(waiting.target()));

    assertFalse(waiting.listener.maySend());
    waiting.listener.onFailure(TargetFailure.WITHDRAWN);

    assertEquals(2, world.sentCalls.size());
    assertNotEquals(waiting.target(), world.lastCall().target());
    assertTrue(world.lastCall().listener.maySend());
    world.lastCall().respond(200, "ok");
    assertTrue(caller.finished);
  }

  @Test
  void leavingTargetKeepsStreamButItsCopyIsNotUsed() {
    world.submit("/stream/x", caller);
    SentCall execution = world.lastCall().accept();
    execution.listener.onHead(stream(LEAVING));
    execution.event(1).event(2);
    assertFalse(execution.cancelled);
    TargetDescription holder =
        world.targets.all().stream()
            .map(state -> state.description())
            .filter(target -> execution.dispatch.copyTo().equals(Optional.of(target.address())))
            .findFirst()
            .orElseThrow();
    world.targets.recordLeaving(holder.id());

    world.fail(execution, TargetFailure.RESET);

    String next = world.lastCall().target();
    assertNotEquals(execution.target(), next);
    assertNotEquals(holder.id().value(), next);
    assertTrue(world.lastCall().dispatch.continueFrom().isEmpty());
  }

  @Test
  void resumedStreamIsNotSentToLeavingTarget() {
    String leaving = submit("/stream/x").accept().target();
    world.lastCall().listener.onHead(stream(LEAVING));
    world.lastEventId = OptionalLong.of(7);

    for (int number = 0; number < REQUESTS; number++) {
      assertNotEquals(leaving, submit("/stream/x").target());
    }
  }

  @Test
  void requestIsRejectedAtOnceWhenAllTargetsAreLeaving() {
    listOnly("c1");
    respondWith(head(200, false, LEAVING));

    world.submit("/safe/x", caller);

    assertEquals(Rejection.NO_TARGET, caller.rejection);
  }

  @Test
  void probeResponseCanAnnounceLeaving() {
    TargetDescription target = description("c1");
    world.forwarder.port().probe(target, 100, result -> {});

    world.lastProbe().listener().onAnnouncements(LEAVING);

    assertFalse(chosenTargets("/safe/x").contains("c1"));
  }

  @Test
  void promptQueryResponseCanAnnounceLeaving() {
    world.promptPart = Optional.of("part");
    world.lastEventId = OptionalLong.of(7);
    world.submit("/stream/x", caller);
    String queried = world.promptQueries.get(0).target();

    world.promptQueries.get(0).announcements().accept(LEAVING);
    world.promptQueries.forEach(query -> query.response().accept(Optional.empty()));

    assertNotEquals(queried, world.lastCall().target());
    assertTrue(world.targets.find(new TargetId(queried)).orElseThrow().isLeaving());
  }

  // Backoff.

  @Test
  void targetReceivesNothingDuringBackoff() {
    String backingOff = respondWith(head(503, true, BACKING_OFF));
    for (int passed = 0; passed < BACKOFF_MILLIS; passed += 100) {
      assertFalse(chosenTargets("/safe/x").contains(backingOff));
      world.advanceTime(100);
    }
    world.advanceTime(100);

    assertTrue(
        chosenTargets("/safe/x").contains(backingOff), "target is available after the backoff");
  }

  @Test
  void longestBackoffAppliesAndLaterResponseDoesNotEndIt() {
    SentCall early = submit("/safe/x").accept();
    listOnly(early.target());
    SentCall next = submit("/safe/x").accept();
    next.listener.onHead(head(503, true, BACKING_OFF));
    early.respond(200, "ok");

    world.advanceTime(BACKOFF_MILLIS - 1);

    assertTrue(world.forwarder.backoffs().isBackingOff(new TargetId(early.target())));
  }

  @Test
  void rejectionWithoutNotExecutedDeclarationSetsBackoff() {
    String backingOff = respondWith(head(503, false, BACKING_OFF));

    assertFalse(chosenTargets("/safe/x").contains(backingOff));
  }

  @Test
  void requestChosenBeforeBackoffIsNotSent() {
    SentCall first = submit("/safe/x");
    listOnly(first.target());
    SentCall second = submit("/safe/x");
    first.accept().listener.onHead(head(503, true, BACKING_OFF));

    assertFalse(second.listener.maySend());
  }

  /**
   * A request waits if the backoff ends soon enough; otherwise its rejection has a Retry-After for
   * the end of the backoff.
   */
  @Test
  void requestIsRejectedWithRetryAfterWhenAllTargetsBackOff() {
    listOnly("c1");
    respondWith(head(503, true, BACKING_OFF));
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

  /** The request may not be sent to the same target again, so that waiting would be useless. */
  @Test
  void requestIsRejectedAtOnceWhenOnlyTargetBacksOff() {
    listOnly("c1");
    world.submit("/safe/x", caller);
    Announcements shortBackoff =
        Announcements.NONE.withBackoffMillis(new Announcement.Announced<>(1L));

    world.lastCall().accept().listener.onHead(head(503, true, shortBackoff));

    assertEquals(Rejection.OVERLOADED, caller.rejection);
    assertTrue(caller.retryAfterMillis >= 1);
  }

  /**
   * Guards against sending all retried requests at once to a target that would reject them again.
   */
  @Test
  void oneRequestIsSentFirstAfterBackoff() {
    listOnly("c1");
    respondWith(head(503, true, BACKING_OFF));
    world.advanceTime(BACKOFF_MILLIS + 100);
    int before = world.sentCalls.size();

    for (int number = 0; number < REQUESTS; number++) {
      world.submit("/safe/x", new Caller());
    }
    assertEquals(before + 1, world.sentCalls.size());
    world.lastCall().accept().listener.onHead(head(503, true, BACKING_OFF));
    world.advanceTime(500);

    assertEquals(before + 1, world.sentCalls.size());
  }

  @Test
  void copyAtTargetInBackoffIsNotUsed() {
    world.submit("/stream/x", caller);
    SentCall execution = world.lastCall().accept().respondHead(200, true).event(1);
    TargetDescription holder =
        world.targets.all().stream()
            .map(state -> state.description())
            .filter(target -> execution.dispatch.copyTo().equals(Optional.of(target.address())))
            .findFirst()
            .orElseThrow();
    world.forwarder.backoffs().observe(holder.id(), BACKOFF_MILLIS);

    world.fail(execution, TargetFailure.RESET);

    assertNotEquals(holder.id().value(), world.lastCall().target());
  }

  /** Guards against spending a token on a target in backoff. */
  @Test
  void noTokenIsRequestedForTargetInBackoff() {
    for (String counter : new String[] {"c1", "c2", "c3"}) {
      world.forwarder.limits().announced().observe(new TargetId(counter), 5, 0);
      world.forwarder.backoffs().observe(new TargetId(counter), BACKOFF_MILLIS);
    }

    world.submit("/safe/x", caller);

    assertTrue(world.tokenRequests.isEmpty());
    assertEquals(Rejection.OVERLOADED, caller.rejection);
  }
}
