package org.gatereel.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.gatereel.core.action.Action;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.LimitFact;
import org.gatereel.core.statement.TargetFact;
import org.gatereel.core.statement.TargetFacts;
import org.junit.jupiter.api.Test;

class LimitBookTest {
  private static final TargetId TARGET = new TargetId("t1", 7);
  private static final TargetId NEXT_RUN = new TargetId("t1", 8);
  private static final double NONE = Double.POSITIVE_INFINITY;

  private final Set<TargetId> listed = new HashSet<>(Set.of(TARGET, NEXT_RUN));
  private final CoreContext context =
      new CoreContext(new HostId("h1"), new DataCentre("north"), new SplittableRandom(1));
  private final TargetFacts facts = new TargetFacts(context, listed::contains);
  private final LimitBook book = new LimitBook(context, facts);

  LimitBookTest() {
    context.advanceTo(100_000);
  }

  private void pass(long millis) {
    context.advanceTo(context.now() + millis);
    context.timers().runDue(context.now());
  }

  private void hear(double perSecond, long sentAgo) {
    book.hear(TARGET, perSecond, context.now() - sentAgo);
  }

  private void hearNone(long sentAgo) {
    book.hearNone(TARGET, context.now() - sentAgo);
  }

  private void told(double perSecond, long ago) {
    facts.merge(List.of(new LimitFact(TARGET, new AnnouncedLimit(perSecond, context.now() - ago))));
  }

  private List<Action.LogEvent> notes() {
    return context.takeActions().stream()
        .filter(action -> action instanceof Action.LogEvent)
        .map(action -> (Action.LogEvent) action)
        .toList();
  }

  @Test
  void aTargetThatNamesNoneTakesAnyNumber() {
    hearNone(0);

    assertEquals(NONE, book.perSecond(TARGET));
    assertEquals(Optional.empty(), book.find(TARGET));
  }

  /** Were it 0, admission would refuse all, and nobody would hear that it takes more again. */
  @Test
  void aTargetThatTakesNothingIsAskedAgainNowAndThen() {
    hear(0, 10);

    assertEquals(0.1, book.perSecond(TARGET));
    assertEquals(0, book.find(TARGET).orElseThrow().perSecond(), "others are told its own word");
  }

  @Test
  void aLimitHoldsForOneRunOfATarget() {
    hear(5.4, 10);

    assertEquals(5.4, book.perSecond(TARGET));
    assertEquals(NONE, book.perSecond(NEXT_RUN));
  }

  @Test
  void aLowerLimitHoldsAtOnceAndAHigherOneOnlyForARequestSentAfterIt() {
    hear(5.4, 10);
    hear(2, 500);
    assertEquals(2, book.perSecond(TARGET));
    pass(200);
    hear(8, 300);
    assertEquals(2, book.perSecond(TARGET), "answers a request that was sent before");
    hear(8, 100);
    assertEquals(8, book.perSecond(TARGET));
  }

  @Test
  void anAnswerWithoutItEndsALimit() {
    hear(5.4, 10);
    pass(100);
    hearNone(200);
    assertEquals(5.4, book.perSecond(TARGET));

    hearNone(50);

    assertEquals(NONE, book.perSecond(TARGET));
    assertEquals(0, book.size());
  }

  @Test
  void aLimitThatChangesWithEachAnswerFillsNoLog() {
    for (int answer = 0; answer < 100; answer++) {
      hear(answer % 2 == 0 ? 5.4 : 2, 0);
      pass(10);
    }

    assertTrue(notes().size() <= 2);
  }

  @Test
  void theLaterOfWhatTwoHostsWereToldHolds() {
    told(5.4, 4_000);
    told(8, 2_000);
    told(2, 3_000);
    assertEquals(8, book.perSecond(TARGET));

    told(NONE, 500);
    told(8, 2_000);

    assertEquals(NONE, book.perSecond(TARGET));
  }

  @Test
  void ofWhatTwoHostsWereToldAtOnceTheLowerHoldsInAnyOrder() {
    told(5.4, 1_050);
    told(3.6, 1_000);
    assertEquals(3.6, book.perSecond(TARGET));

    told(5.4, 980);

    assertEquals(3.6, book.perSecond(TARGET));
  }

  /** Its steady clock stood still meanwhile, so that all it knows seems younger than it is. */
  @Test
  void whatAHostHeardBeforeItWasSuspendedIsNoYoungerForIt() {
    hear(8, 0);
    pass(100);
    context.recordSuspension(5_000);

    long told = facts.after(0, 1).get(0).fact().since();
    assertEquals(5_100, context.now() - told);

    told(2, 3_000);
    assertEquals(2, book.perSecond(TARGET), "said while this host was suspended");
    told(8, 4_000);
    assertEquals(2, book.perSecond(TARGET));
    pass(10);
    hear(8, 5);
    assertEquals(8, book.perSecond(TARGET));
  }

  /** Each report makes the time a little later; it must not go round for ever. */
  @Test
  void whatComesBackUnchangedIsNoNews() {
    hear(5.4, 0);
    long number = facts.after(0, 10).get(0).number();
    pass(500);

    told(5.4, 400);

    assertEquals(List.of(), facts.after(number, 10));
  }

  @Test
  void hostsAreToldTheLatestAlone() {
    hear(5.4, 0);
    pass(10);
    hear(2, 0);
    pass(10);
    hearNone(0);

    List<TargetFact> told = facts.after(0, 10).stream().map(next -> next.fact()).toList();

    assertEquals(1, told.size());
    assertTrue(((LimitFact) told.get(0)).limit().isNone());
  }

  @Test
  void theLimitOfARunThatIsGoneIsForgotten() {
    hear(5.4, 0);
    listed.remove(TARGET);

    pass(60_000);
    pass(60_001);

    assertEquals(List.of(), facts.after(0, 10));
    assertEquals(0, book.size());
  }
}
