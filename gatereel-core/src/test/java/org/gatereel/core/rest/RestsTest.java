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
import org.gatereel.core.statement.RestFact;
import org.gatereel.core.statement.TargetFacts;
import org.junit.jupiter.api.Test;

class RestsTest {
  private static final TargetId TARGET = new TargetId("t1", 7);
  private static final TargetId NEXT_RUN = new TargetId("t1", 8);
  private static final long BACK_WITHIN_MILLIS = 200;

  private final CoreContext context =
      new CoreContext(new HostId("h1"), new DataCentre("north"), new SplittableRandom(1));
  private final TargetFacts facts = new TargetFacts(context, any -> true);
  private final Rests rests = new Rests(context, facts);

  RestsTest() {
    context.advanceTo(100_000);
  }

  private void pass(long millis) {
    context.advanceTo(context.now() + millis);
    context.timers().runDue(context.now());
  }

  private boolean admits() {
    boolean admits = !rests.barred().contains(TARGET);
    assertEquals(admits, rests.millisTo(TARGET) == 0);
    return admits;
  }

  /** Sends as many requests as are admitted now, up to a number. */
  private int send(int most) {
    int sent = 0;
    while (sent < most && admits()) {
      rests.sent(TARGET);
      sent++;
    }
    return sent;
  }

  @Test
  void aTargetThatAskedForNothingIsAdmitted() {
    assertTrue(admits());
    assertEquals(Set.of(), rests.barred());
  }

  @Test
  void nothingIsSentUntilTheEndAndSomethingSoonAfterIt() {
    rests.hear(TARGET, 3_000);
    for (int millis = 0; millis < 3_000; millis += 10) {
      assertFalse(admits());
      pass(10);
    }

    pass(BACK_WITHIN_MILLIS);

    assertTrue(admits());
  }

  @Test
  void itBindsOneRunAlone() {
    rests.hear(TARGET, 3_000);

    assertEquals(0, rests.millisTo(NEXT_RUN));
    assertFalse(rests.restsElsewhere(NEXT_RUN));
  }

  @Test
  void ofSeveralTheLongestHolds() {
    rests.hear(TARGET, 3_000);
    pass(500);
    rests.hear(TARGET, 1_000);
    pass(2_400);
    assertFalse(admits());
    rests.hear(TARGET, 1_000);
    pass(900);
    assertFalse(admits());
  }

  /** The target's clock went on while this host's stood still. */
  @Test
  void timeInWhichTheHostWasSuspendedCounts() {
    rests.hear(TARGET, 3_000);

    context.recordSuspension(3_000 + BACK_WITHIN_MILLIS);

    assertTrue(admits());
  }

  @Test
  void afterTheEndOneIsSentAndThenTwiceAsManyEachStep() {
    rests.hear(TARGET, 1_000);
    pass(1_000 + BACK_WITHIN_MILLIS);

    assertEquals(1, send(1_000));
    assertTrue(rests.millisTo(TARGET) <= 100);
    pass(100);
    assertEquals(1, send(1_000));
    pass(100);
    assertEquals(2, send(1_000));
    pass(400);
    assertEquals(1_000, send(1_000), "it is like any other again");
  }

  /** A refusal comes back long before the second step. */
  @Test
  void aTargetThatWantsMoreRestHasTwoRequestsAtTheMost() {
    int sent = 0;
    for (int round = 0; round < 10; round++) {
      rests.hear(TARGET, 1_000);
      pass(1_000 + BACK_WITHIN_MILLIS);
      sent += send(1_000);
    }

    assertEquals(10, sent);
  }

  @Test
  void aTargetThatNobodyNeededForAWhileIsLikeAnyOther() {
    rests.hear(TARGET, 1_000);
    pass(12_000);

    assertEquals(1_000, send(1_000));
  }

  @Test
  void whatAnotherHostWasAskedForIsNoBarButToldUntilItsEnd() {
    facts.merge(List.of(new RestFact(TARGET, context.now() - 200, context.now() + 2_800)));

    assertTrue(admits());
    assertTrue(rests.restsElsewhere(TARGET));
    pass(2_800);
    assertFalse(rests.restsElsewhere(TARGET));
  }

  @Test
  void hostsAreToldOfARestOnceAndOfAnEndThatIsMuchLater() {
    rests.hear(TARGET, 3_000);
    long told = facts.after(0, 10).get(0).number();
    pass(100);
    rests.hear(TARGET, 3_000);
    assertEquals(List.of(), facts.after(told, 10));

    pass(1_400);
    rests.hear(TARGET, 3_000);

    assertEquals(1, facts.after(told, 10).size());
  }
}
