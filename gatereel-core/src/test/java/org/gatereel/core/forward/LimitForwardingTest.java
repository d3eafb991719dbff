package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.gatereel.core.forward.ForwardWorld.TokenRequest;
import org.gatereel.core.limit.Loan;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.Statement;
import org.gatereel.core.statement.Statements;
import org.junit.jupiter.api.Test;

/** Requests for targets that take only so many: what a host does until it has a token, and then. */
class LimitForwardingTest {
  private static final int HOSTS = 60;
  private static final Loan ONE = new Loan(1, 0);
  private static final Loan LATER = new Loan(0, 5_000);
  private static final String[] COUNTERS = {"c1", "c2", "c3"};
  private static final String[] ENGINES = {"e1", "e2", "e3"};

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();
  private Exchange exchange;

  LimitForwardingTest() {
    List<HostDirectory.Entry> entries = new ArrayList<>();
    String[] places = {"north", "south", "west"};
    for (int number = 0; number < HOSTS; number++) {
      DataCentre place = new DataCentre(places[number % places.length]);
      entries.add(
          new HostDirectory.Entry("peer" + number, place, new Address("10.0.2." + number, 7), 0));
    }
    for (int reading = 0; reading < 3; reading++) {
      world.directory.update(entries, 0);
    }
  }

  private void limit(double perSecond, String... targets) {
    for (String target : targets) {
      world.forwarder.limits().book().hear(new TargetId(target), perSecond, 0);
    }
  }

  private void ask(String path) {
    exchange = world.submit(path, caller).orElseThrow();
  }

  private TokenRequest question() {
    return world.tokenRequests.get(world.tokenRequests.size() - 1);
  }

  private String questioned() {
    return question().requested().limit().target().value();
  }

  private void answer(Loan loan) {
    question().response().accept(Optional.of(loan));
  }

  @Test
  void aTargetWithoutALimitIsSentRequestsWithoutAQuestion() {
    ask("/safe/x");

    assertEquals(1, world.sentCalls.size());
    assertTrue(world.tokenRequests.isEmpty());
  }

  @Test
  void aLimitedTargetIsSentNothingBeforeThereIsAToken() {
    limit(5, COUNTERS);
    ask("/safe/x");
    assertTrue(world.sentCalls.isEmpty());
    String asked = questioned();

    answer(ONE);

    assertEquals(asked, world.lastCall().target());
    world.lastCall().respond(200, "whole");
    assertEquals("whole", caller.body.toString());
  }

  @Test
  void whatAnAnswerSaysHoldsFromTheNextRequestOn() {
    ask("/safe/x");
    String target = world.lastCall().target();
    SentCall call = world.lastCall().accept();
    call.listener.onHead(
        new ForwardWorld.Head(
            200, false, true, false, Statements.NONE.withLimit(Statement.number(0.5))));
    call.listener.onEnd(ResponseEnd.LAST_CHUNK);
    assertEquals(0.5, world.forwarder.limits().book().perSecond(new TargetId(target)));

    world.list(ForwardWorld.target(target, ForwardWorld.COUNTERS, "north"));
    ask("/safe/x");

    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void aRefusalOfTheTargetsOwnNamesItsLimitToo() {
    ask("/safe/x");
    SentCall call = world.lastCall().accept();

    call.listener.onHead(
        new ForwardWorld.Head(
            503, true, false, false, Statements.NONE.withLimit(Statement.number(0.5))));

    assertEquals(0.5, world.forwarder.limits().book().perSecond(new TargetId(call.target())));
  }

  /** Whoever answers without the target's mark may be somebody else. */
  @Test
  void anAnswerThatIsNotTheTargetsOwnLiftsNoLimit() {
    limit(5, COUNTERS);
    world.advanceTime(10);
    ask("/safe/x");
    String target = questioned();
    answer(ONE);

    world
        .lastCall()
        .accept()
        .listener
        .onHead(new ForwardWorld.Head(500, false, false, false, Statements.NONE));

    assertEquals(5, world.forwarder.limits().book().perSecond(new TargetId(target)));
  }

  @Test
  void aTargetWithoutATokenIsPassedOverForTheOthers() {
    limit(5, "c1");
    List<String> targets = new ArrayList<>();
    for (int request = 0; request < 20; request++) {
      int asked = world.tokenRequests.size();
      world.submit("/safe/x", new Caller());
      if (world.tokenRequests.size() > asked) {
        answer(LATER);
      }
      targets.add(world.lastCall().target());
    }

    assertEquals(20, world.sentCalls.size());
    assertFalse(targets.contains("c1"));
    assertEquals(1, world.tokenRequests.size(), "it is not asked for again until then");
  }

  @Test
  void whereNoTargetHasATokenTheRequestIsRefusedLongBeforeItsDeadline() {
    limit(5, COUNTERS);
    ask("/safe/x");
    while (world.tokenRequests.size() < COUNTERS.length) {
      answer(LATER);
    }
    answer(LATER);
    assertNull(caller.rejection, "a token may come in a moment");

    world.advanceTime(101);

    assertEquals(Rejection.OVERLOADED, caller.rejection);
    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void aTokenThatComesWhileTheRequestWaitsServesIt() {
    limit(5, COUNTERS);
    ask("/safe/x");
    while (world.tokenRequests.size() < COUNTERS.length) {
      answer(new Loan(0, 20));
    }
    answer(new Loan(0, 20));

    world.advanceTime(70);
    answer(ONE);

    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void aTokenForACallerWhoLeftServesTheNext() {
    limit(5, COUNTERS);
    ask("/safe/x");
    String target = questioned();
    exchange.onCallerDisconnected();

    answer(ONE);

    assertTrue(world.sentCalls.isEmpty());
    world.list(ForwardWorld.target(target, ForwardWorld.COUNTERS, "north"));
    int asked = world.tokenRequests.size();
    ask("/safe/x");
    assertEquals(asked, world.tokenRequests.size());
    assertEquals(target, world.lastCall().target());
  }

  @Test
  void aTokenThatNobodyUsedIsNotKeptForLong() {
    limit(5, COUNTERS);
    ask("/safe/x");
    String target = questioned();
    exchange.onCallerDisconnected();
    answer(ONE);

    world.advanceTime(501);
    world.list(ForwardWorld.target(target, ForwardWorld.COUNTERS, "north"));
    ask("/safe/x");

    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void theDeadlineEndsARequestThatHasNoAnswerFromTheLender() {
    limit(5, COUNTERS);
    ask("/safe/x");

    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS);

    assertEquals(Rejection.NOT_STARTED_IN_TIME, caller.rejection);
    answer(ONE);
    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void aHostThatStopsRefusesTruthfullyWhatWaitsForAToken() {
    limit(5, COUNTERS);
    ask("/safe/x");

    world.forwarder.stopAll();

    assertEquals(Rejection.STOPPING, caller.rejection);
    answer(ONE);
    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void aTargetThatBeganToLeaveMeanwhileGetsNothing() {
    limit(5, "c1");
    world.list(
        ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"),
        ForwardWorld.target("c2", ForwardWorld.COUNTERS, "south"));
    while (world.tokenRequests.isEmpty()) {
      ask("/safe/x");
    }
    int before = world.sentCalls.size();
    world.advanceTime(5);
    world.targets.leaving(new TargetId("c1"));

    answer(ONE);

    assertEquals(before + 1, world.sentCalls.size());
    assertEquals("c2", world.lastCall().target());
  }

  @Test
  void aLenderThatDoesNotAnswerIsFollowedByTheNextAndThenTheTargetIsPassedOver() {
    limit(5, "c1");
    while (world.tokenRequests.isEmpty()) {
      world.submit("/safe/x", new Caller());
    }
    int before = world.sentCalls.size();
    Address first = question().issuer();

    question().response().accept(Optional.empty());
    Address second = question().issuer();
    assertFalse(first.equals(second));
    assertEquals(before, world.sentCalls.size());
    question().response().accept(Optional.empty());
    Address elsewhere = question().issuer();
    assertFalse(second.equals(elsewhere));
    question().response().accept(Optional.empty());

    assertEquals(before + 1, world.sentCalls.size());
    assertFalse(world.lastCall().target().equals("c1"));
  }

  @Test
  void repeatsTakeTokensToo() {
    limit(5, COUNTERS);
    ask("/safe/x");
    answer(ONE);
    int asked = world.tokenRequests.size();

    world.fail(world.lastCall().accept(), TargetFailure.RESET);

    assertEquals(asked + 1, world.tokenRequests.size());
    assertEquals(1, world.sentCalls.size());
    answer(ONE);
    assertEquals(2, world.sentCalls.size());
  }

  /** The holder of a copy may be limited as well; the caller cannot wait, so it goes first. */
  @Test
  void aRunFromACopyTakesATokenAndIsUrgent() {
    ask("/stream/x");
    SentCall run = world.lastCall().accept().respondHead(200, true).event(1);
    limit(0.5, ENGINES);

    world.fail(run, TargetFailure.RESET);

    assertTrue(question().requested().urgent());
    assertEquals(1, world.sentCalls.size());
    answer(ONE);
    assertEquals(2, world.sentCalls.size());
    assertTrue(world.lastCall().dispatch.continueFrom().isPresent());
  }

  @Test
  void aStreamThatHasBegunWaitsLongerForATokenThanOneThatHasNot() {
    ask("/stream/x");
    SentCall run = world.lastCall().accept().respondHead(200, true).event(1);
    limit(0.5, ENGINES);
    world.fail(run, TargetFailure.RESET);
    for (int denied = 0; denied < ENGINES.length; denied++) {
      answer(LATER);
    }

    world.advanceTime(1_500);
    assertFalse(caller.aborted);
    world.advanceTime(600);

    assertTrue(caller.aborted);
  }

  @Test
  void aCallerWhoComesBackForTheRestOfAStreamIsUrgent() {
    limit(0.5, ENGINES);
    world.lastEventId = OptionalLong.of(7);

    ask("/stream/x");

    assertTrue(question().requested().urgent());
  }

  @Test
  void requestsThatWaitForOneTargetAreAskedForTogether() {
    limit(5, "c1");
    world.list(ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"));
    List<Caller> callers = new ArrayList<>();
    for (int number = 0; number < 4; number++) {
      callers.add(new Caller());
      world.submit("/safe/x", callers.get(number));
    }
    assertEquals(1, world.tokenRequests.size());
    answer(ONE);
    assertEquals(2, world.tokenRequests.size());
    assertEquals(3, question().count());

    answer(new Loan(2, 5_000));

    assertEquals(3, world.sentCalls.size());
    world.advanceTime(101);
    assertEquals(Rejection.OVERLOADED, callers.get(3).rejection);
  }
}
