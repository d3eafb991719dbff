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

class AnnouncedLimitsTest {
  private static final TargetId TARGET = new TargetId("t1", 7);
  private static final TargetId NEXT_INCARNATION = new TargetId("t1", 8);
  private static final double NONE = Double.POSITIVE_INFINITY;

  private final Set<TargetId> listed = new HashSet<>(Set.of(TARGET, NEXT_INCARNATION));
  private final CoreContext context =
      new CoreContext(new HostId("h1"), new DataCentre("north"), new SplittableRandom(1));
  private final TargetFacts facts = new TargetFacts(context, listed::contains);
  private final AnnouncedLimits limits = new AnnouncedLimits(context, facts);

  AnnouncedLimitsTest() {
    context.advanceTo(100_000);
  }

  private void advance(long millis) {
    context.advanceTo(context.now() + millis);
    context.timers().runDue(context.now());
  }

  private void observe(double perSecond, long sentAgo) {
    limits.observe(TARGET, perSecond, context.now() - sentAgo);
  }

  private void observeNone(long sentAgo) {
    limits.observeNone(TARGET, context.now() - sentAgo);
  }

  private void reported(double perSecond, long ago) {
    facts.merge(List.of(new LimitFact(TARGET, new AnnouncedLimit(perSecond, context.now() - ago))));
  }

  private List<Action.LogEvent> notes() {
    return context.takeActions().stream()
        .filter(action -> action instanceof Action.LogEvent)
        .map(action -> (Action.LogEvent) action)
        .toList();
  }

  @Test
  void targetWithoutLimitIsUnlimited() {
    observeNone(0);

    assertEquals(NONE, limits.perSecond(TARGET));
    assertEquals(Optional.empty(), limits.find(TARGET));
  }

  /**
   * Guards against rejecting all requests, after which no response could announce a higher limit.
   */
  @Test
  void limitOfZeroAllowsAMinimumRate() {
    observe(0, 10);

    assertEquals(0.1, limits.perSecond(TARGET));
    assertEquals(
        0,
        limits.find(TARGET).orElseThrow().perSecond(),
        "other hosts receive the announced value");
  }

  @Test
  void limitIsValidForOneIncarnation() {
    observe(5.4, 10);

    assertEquals(5.4, limits.perSecond(TARGET));
    assertEquals(NONE, limits.perSecond(NEXT_INCARNATION));
  }

  @Test
  void lowerLimitAppliesImmediatelyAndHigherLimitOnlyToLaterRequests() {
    observe(5.4, 10);
    observe(2, 500);
    assertEquals(2, limits.perSecond(TARGET));
    advance(200);
    observe(8, 300);
    assertEquals(2, limits.perSecond(TARGET), "responds to a request that was sent before");
    observe(8, 100);
    assertEquals(8, limits.perSecond(TARGET));
  }

  @Test
  void responseWithoutLimitEndsTheLimit() {
    observe(5.4, 10);
    advance(100);
    observeNone(200);
    assertEquals(5.4, limits.perSecond(TARGET));

    observeNone(50);

    assertEquals(NONE, limits.perSecond(TARGET));
    assertEquals(0, limits.size());
  }

  @Test
  void limitsTheLoggingOfAFrequentlyChangingLimit() {
    for (int response = 0; response < 100; response++) {
      observe(response % 2 == 0 ? 5.4 : 2, 0);
      advance(10);
    }

    assertTrue(notes().size() <= 2);
  }

  @Test
  void laterOfTwoReportedLimitsApplies() {
    reported(5.4, 4_000);
    reported(8, 2_000);
    reported(2, 3_000);
    assertEquals(8, limits.perSecond(TARGET));

    reported(NONE, 500);
    reported(8, 2_000);

    assertEquals(NONE, limits.perSecond(TARGET));
  }

  @Test
  void lowerOfTwoSimultaneousReportsAppliesInAnyOrder() {
    reported(5.4, 1_050);
    reported(3.6, 1_000);
    assertEquals(3.6, limits.perSecond(TARGET));

    reported(5.4, 980);

    assertEquals(3.6, limits.perSecond(TARGET));
  }

  /** The steady clock stops during a suspension, so a limit would seem newer than it is. */
  @Test
  void ageOfALimitIncludesTheSuspensionOfTheHost() {
    observe(8, 0);
    advance(100);
    context.recordSuspension(5_000);

    long announcedAt = facts.after(0, 1).get(0).fact().announcedAt();
    assertEquals(5_100, context.now() - announcedAt);

    reported(2, 3_000);
    assertEquals(2, limits.perSecond(TARGET), "announced while this host was suspended");
    reported(8, 4_000);
    assertEquals(2, limits.perSecond(TARGET));
    advance(10);
    observe(8, 5);
    assertEquals(8, limits.perSecond(TARGET));
  }

  /**
   * Reports change the time of a limit slightly; hosts must not report it to each other endlessly.
   */
  @Test
  void unchangedLimitIsNotReportedAgain() {
    observe(5.4, 0);
    long number = facts.after(0, 10).get(0).number();
    advance(500);

    reported(5.4, 400);

    assertEquals(List.of(), facts.after(number, 10));
  }

  @Test
  void onlyTheLatestLimitIsReported() {
    observe(5.4, 0);
    advance(10);
    observe(2, 0);
    advance(10);
    observeNone(0);

    List<TargetFact> reported = facts.after(0, 10).stream().map(next -> next.fact()).toList();

    assertEquals(1, reported.size());
    assertTrue(((LimitFact) reported.get(0)).limit().isNone());
  }

  @Test
  void limitOfAnUnlistedIncarnationExpires() {
    observe(5.4, 0);
    listed.remove(TARGET);

    advance(60_000);
    advance(60_001);

    assertEquals(List.of(), facts.after(0, 10));
    assertEquals(0, limits.size());
  }
}
