package org.gatereel.core.rest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.BackoffFact;
import org.gatereel.core.statement.TargetFacts;
import org.junit.jupiter.api.Test;

class TargetBackoffsTest {
  private static final TargetId TARGET = new TargetId("t1", 7);
  private static final TargetId NEXT_INCARNATION = new TargetId("t1", 8);
  private static final long MAX_JITTER_MILLIS = 200;

  private final CoreContext context =
      new CoreContext(new HostId("h1"), new DataCentre("north"), new SplittableRandom(1));
  private final TargetFacts facts = new TargetFacts(context, any -> true);
  private final TargetBackoffs backoffs = new TargetBackoffs(context, facts);

  TargetBackoffsTest() {
    context.advanceTo(100_000);
  }

  private void advance(long millis) {
    context.advanceTo(context.now() + millis);
    context.timers().runDue(context.now());
  }

  private boolean admits() {
    boolean admits = !backoffs.blockedTargets().contains(TARGET);
    assertEquals(admits, backoffs.millisUntilAllowed(TARGET) == 0);
    return admits;
  }

  /** Sends as many requests as are admitted now, up to {@code max}. */
  private int send(int max) {
    int sent = 0;
    while (sent < max && admits()) {
      backoffs.recordSent(TARGET);
      sent++;
    }
    return sent;
  }

  @Test
  void admitsATargetWithoutBackoff() {
    assertTrue(admits());
    assertEquals(Set.of(), backoffs.blockedTargets());
  }

  @Test
  void admitsNothingBeforeTheEndAndARequestSoonAfter() {
    backoffs.observe(TARGET, 3_000);
    for (int millis = 0; millis < 3_000; millis += 10) {
      assertFalse(admits());
      advance(10);
    }

    advance(MAX_JITTER_MILLIS);

    assertTrue(admits());
  }

  @Test
  void appliesToOneIncarnationOnly() {
    backoffs.observe(TARGET, 3_000);

    assertEquals(0, backoffs.millisUntilAllowed(NEXT_INCARNATION));
    assertFalse(backoffs.isBackingOffElsewhere(NEXT_INCARNATION));
  }

  @Test
  void latestEndOfSeveralCounts() {
    backoffs.observe(TARGET, 3_000);
    advance(500);
    backoffs.observe(TARGET, 1_000);
    advance(2_400);
    assertFalse(admits());
    backoffs.observe(TARGET, 1_000);
    advance(900);
    assertFalse(admits());
  }

  /** The clock of the target advances while the host is suspended. */
  @Test
  void countsTheTimeOfAHostSuspension() {
    backoffs.observe(TARGET, 3_000);

    context.recordSuspension(3_000 + MAX_JITTER_MILLIS);

    assertTrue(admits());
  }

  @Test
  void admitsOneRequestAfterTheEndAndThenTwiceAsManyEachStep() {
    backoffs.observe(TARGET, 1_000);
    advance(1_000 + MAX_JITTER_MILLIS);

    assertEquals(1, send(1_000));
    assertTrue(backoffs.millisUntilAllowed(TARGET) <= 100);
    advance(100);
    assertEquals(1, send(1_000));
    advance(100);
    assertEquals(2, send(1_000));
    advance(400);
    assertEquals(1_000, send(1_000), "the target is no longer limited");
  }

  /** The rejection arrives before the second step of the slow start. */
  @Test
  void sendsFewRequestsToATargetThatRepeatsItsBackoff() {
    int sent = 0;
    for (int round = 0; round < 10; round++) {
      backoffs.observe(TARGET, 1_000);
      advance(1_000 + MAX_JITTER_MILLIS);
      sent += send(1_000);
    }

    assertEquals(10, sent);
  }

  @Test
  void doesNotLimitATargetAfterALongIdleTime() {
    backoffs.observe(TARGET, 1_000);
    advance(12_000);

    assertEquals(1_000, send(1_000));
  }

  @Test
  void backoffFromAnotherHostDoesNotBlockTheTarget() {
    facts.merge(List.of(new BackoffFact(TARGET, context.now() - 200, context.now() + 2_800)));

    assertTrue(admits());
    assertTrue(backoffs.isBackingOffElsewhere(TARGET));
    advance(2_800);
    assertFalse(backoffs.isBackingOffElsewhere(TARGET));
  }

  @Test
  void reportsABackoffAgainOnlyIfItsEndIsMuchLater() {
    backoffs.observe(TARGET, 3_000);
    long number = facts.after(0, 10).get(0).number();
    advance(100);
    backoffs.observe(TARGET, 3_000);
    assertEquals(List.of(), facts.after(number, 10));

    advance(1_400);
    backoffs.observe(TARGET, 3_000);

    assertEquals(1, facts.after(number, 10).size());
  }
}
