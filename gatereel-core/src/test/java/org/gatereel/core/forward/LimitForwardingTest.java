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
import org.gatereel.core.forward.ForwardWorld.TokenQuestion;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.Announcement;
import org.gatereel.core.statement.Announcements;
import org.junit.jupiter.api.Test;

/** Requests for targets that take only so many: what a host does until it has a token, and then. */
class LimitForwardingTest {
  private static final int HOSTS = 60;
  private static final TokenGrant ONE = new TokenGrant(1, 0);
  private static final TokenGrant LATER = new TokenGrant(0, 5_000);
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
      world.forwarder.limits().announced().observe(new TargetId(target), perSecond, 0);
    }
  }

  private void ask(String path) {
    exchange = world.ask(path, caller).orElseThrow();
  }

  private TokenQuestion question() {
    return world.tokenQuestions.get(world.tokenQuestions.size() - 1);
  }

  private String questioned() {
    return question().asked().limit().target().value();
  }

  private void answer(TokenGrant loan) {
    question().answer().accept(Optional.of(loan));
  }

  @Test
  void aTargetWithoutALimitIsSentRequestsWithoutAQuestion() {
    ask("/safe/x");

    assertEquals(1, world.sent.size());
    assertTrue(world.tokenQuestions.isEmpty());
  }

  @Test
  void aLimitedTargetIsSentNothingBeforeThereIsAToken() {
    limit(5, COUNTERS);
    ask("/safe/x");
    assertTrue(world.sent.isEmpty());
    String asked = questioned();

    answer(ONE);

    assertEquals(asked, world.last().target());
    world.last().answer(200, "whole");
    assertEquals("whole", caller.body.toString());
  }

  @Test
  void whatAnAnswerSaysHoldsFromTheNextRequestOn() {
    ask("/safe/x");
    String target = world.last().target();
    SentCall call = world.last().accepted();
    call.listener.onHead(
        new ForwardWorld.Head(
            200, false, true, false, Announcements.NONE.withLimit(Announcement.number(0.5))));
    call.listener.onEnd(ResponseEnd.LAST_CHUNK);
    assertEquals(0.5, world.forwarder.limits().announced().perSecond(new TargetId(target)));

    world.list(ForwardWorld.target(target, ForwardWorld.COUNTERS, "north"));
    ask("/safe/x");

    assertEquals(1, world.sent.size());
  }

  @Test
  void aRefusalOfTheTargetsOwnNamesItsLimitToo() {
    ask("/safe/x");
    SentCall call = world.last().accepted();

    call.listener.onHead(
        new ForwardWorld.Head(
            503, true, false, false, Announcements.NONE.withLimit(Announcement.number(0.5))));

    assertEquals(0.5, world.forwarder.limits().announced().perSecond(new TargetId(call.target())));
  }

  /** Whoever answers without the target's mark may be somebody else. */
  @Test
  void anAnswerThatIsNotTheTargetsOwnLiftsNoLimit() {
    limit(5, COUNTERS);
    world.pass(10);
    ask("/safe/x");
    String target = questioned();
    answer(ONE);

    world
        .last()
        .accepted()
        .listener
        .onHead(new ForwardWorld.Head(500, false, false, false, Announcements.NONE));

    assertEquals(5, world.forwarder.limits().announced().perSecond(new TargetId(target)));
  }

  @Test
  void aTargetWithoutATokenIsPassedOverForTheOthers() {
    limit(5, "c1");
    List<String> targets = new ArrayList<>();
    for (int request = 0; request < 20; request++) {
      int asked = world.tokenQuestions.size();
      world.ask("/safe/x", new Caller());
      if (world.tokenQuestions.size() > asked) {
        answer(LATER);
      }
      targets.add(world.last().target());
    }

    assertEquals(20, world.sent.size());
    assertFalse(targets.contains("c1"));
    assertEquals(1, world.tokenQuestions.size(), "it is not asked for again until then");
  }

  @Test
  void whereNoTargetHasATokenTheRequestIsRefusedLongBeforeItsDeadline() {
    limit(5, COUNTERS);
    ask("/safe/x");
    while (world.tokenQuestions.size() < COUNTERS.length) {
      answer(LATER);
    }
    answer(LATER);
    assertNull(caller.refusal, "a token may come in a moment");

    world.pass(101);

    assertEquals(Rejection.OVERLOADED, caller.refusal);
    assertTrue(world.sent.isEmpty());
  }

  @Test
  void aTokenThatComesWhileTheRequestWaitsServesIt() {
    limit(5, COUNTERS);
    ask("/safe/x");
    while (world.tokenQuestions.size() < COUNTERS.length) {
      answer(new TokenGrant(0, 20));
    }
    answer(new TokenGrant(0, 20));

    world.pass(70);
    answer(ONE);

    assertEquals(1, world.sent.size());
  }

  @Test
  void aTokenForACallerWhoLeftServesTheNext() {
    limit(5, COUNTERS);
    ask("/safe/x");
    String target = questioned();
    exchange.onCallerDisconnected();

    answer(ONE);

    assertTrue(world.sent.isEmpty());
    world.list(ForwardWorld.target(target, ForwardWorld.COUNTERS, "north"));
    int asked = world.tokenQuestions.size();
    ask("/safe/x");
    assertEquals(asked, world.tokenQuestions.size());
    assertEquals(target, world.last().target());
  }

  @Test
  void aTokenThatNobodyUsedIsNotKeptForLong() {
    limit(5, COUNTERS);
    ask("/safe/x");
    String target = questioned();
    exchange.onCallerDisconnected();
    answer(ONE);

    world.pass(501);
    world.list(ForwardWorld.target(target, ForwardWorld.COUNTERS, "north"));
    ask("/safe/x");

    assertTrue(world.sent.isEmpty());
  }

  @Test
  void theDeadlineEndsARequestThatHasNoAnswerFromTheLender() {
    limit(5, COUNTERS);
    ask("/safe/x");

    world.pass(ForwardWorld.TIMEOUT_MILLIS);

    assertEquals(Rejection.NOT_STARTED_IN_TIME, caller.refusal);
    answer(ONE);
    assertTrue(world.sent.isEmpty());
  }

  @Test
  void aHostThatStopsRefusesTruthfullyWhatWaitsForAToken() {
    limit(5, COUNTERS);
    ask("/safe/x");

    world.forwarder.stopAll();

    assertEquals(Rejection.STOPPING, caller.refusal);
    answer(ONE);
    assertTrue(world.sent.isEmpty());
  }

  @Test
  void aTargetThatBeganToLeaveMeanwhileGetsNothing() {
    limit(5, "c1");
    world.list(
        ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"),
        ForwardWorld.target("c2", ForwardWorld.COUNTERS, "south"));
    while (world.tokenQuestions.isEmpty()) {
      ask("/safe/x");
    }
    int before = world.sent.size();
    world.pass(5);
    world.targets.recordLeaving(new TargetId("c1"));

    answer(ONE);

    assertEquals(before + 1, world.sent.size());
    assertEquals("c2", world.last().target());
  }

  @Test
  void aLenderThatDoesNotAnswerIsFollowedByTheNextAndThenTheTargetIsPassedOver() {
    limit(5, "c1");
    while (world.tokenQuestions.isEmpty()) {
      world.ask("/safe/x", new Caller());
    }
    int before = world.sent.size();
    Address first = question().lender();

    question().answer().accept(Optional.empty());
    Address second = question().lender();
    assertFalse(first.equals(second));
    assertEquals(before, world.sent.size());
    question().answer().accept(Optional.empty());
    Address elsewhere = question().lender();
    assertFalse(second.equals(elsewhere));
    question().answer().accept(Optional.empty());

    assertEquals(before + 1, world.sent.size());
    assertFalse(world.last().target().equals("c1"));
  }

  @Test
  void repeatsTakeTokensToo() {
    limit(5, COUNTERS);
    ask("/safe/x");
    answer(ONE);
    int asked = world.tokenQuestions.size();

    world.fail(world.last().accepted(), TargetFailure.RESET);

    assertEquals(asked + 1, world.tokenQuestions.size());
    assertEquals(1, world.sent.size());
    answer(ONE);
    assertEquals(2, world.sent.size());
  }

  /** The holder of a copy may be limited as well; the caller cannot wait, so it goes first. */
  @Test
  void aRunFromACopyTakesATokenAndIsUrgent() {
    ask("/stream/x");
    SentCall run = world.last().accepted().head(200, true).event(1);
    limit(0.5, ENGINES);

    world.fail(run, TargetFailure.RESET);

    assertTrue(question().asked().urgent());
    assertEquals(1, world.sent.size());
    answer(ONE);
    assertEquals(2, world.sent.size());
    assertTrue(world.last().dispatch.continueFrom().isPresent());
  }

  @Test
  void aStreamThatHasBegunWaitsLongerForATokenThanOneThatHasNot() {
    ask("/stream/x");
    SentCall run = world.last().accepted().head(200, true).event(1);
    limit(0.5, ENGINES);
    world.fail(run, TargetFailure.RESET);
    for (int denied = 0; denied < ENGINES.length; denied++) {
      answer(LATER);
    }

    world.pass(1_500);
    assertFalse(caller.aborted);
    world.pass(600);

    assertTrue(caller.aborted);
  }

  @Test
  void aCallerWhoComesBackForTheRestOfAStreamIsUrgent() {
    limit(0.5, ENGINES);
    world.lastEventId = OptionalLong.of(7);

    ask("/stream/x");

    assertTrue(question().asked().urgent());
  }

  @Test
  void requestsThatWaitForOneTargetAreAskedForTogether() {
    limit(5, "c1");
    world.list(ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"));
    List<Caller> callers = new ArrayList<>();
    for (int number = 0; number < 4; number++) {
      callers.add(new Caller());
      world.ask("/safe/x", callers.get(number));
    }
    assertEquals(1, world.tokenQuestions.size());
    answer(ONE);
    assertEquals(2, world.tokenQuestions.size());
    assertEquals(3, question().count());

    answer(new TokenGrant(2, 5_000));

    assertEquals(3, world.sent.size());
    world.pass(101);
    assertEquals(Rejection.OVERLOADED, callers.get(3).refusal);
  }
}
