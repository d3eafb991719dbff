package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against acting on outdated documents, and against waits of a host that is cut off. */
class DocumentFreshnessTest {
  private static final long BOUND_MILLIS = 2_000;
  private static final long REFRESH_TIMEOUT_MILLIS = 1_200;
  private static final long START = 10_000;
  private static final DocumentKind KIND = DocumentKind.CONFIGURATION;

  private final CoreContext context =
      new CoreContext(new HostId("host"), new DataCentre("north"), new SplittableRandom(1));
  private final DocumentFreshness freshness = new DocumentFreshness(context, BOUND_MILLIS);
  private final List<String> done = new ArrayList<>();
  private OptionalLong confirmedAt = OptionalLong.empty();
  private final List<Long> refused = new ArrayList<>();
  private long remainingMillis = Long.MAX_VALUE;
  private int refreshes;

  @BeforeEach
  void start() {
    advanceTo(START);
    freshness.track(KIND, this::age);
    freshness.setRefresh(() -> refreshes++, REFRESH_TIMEOUT_MILLIS);
  }

  private OptionalLong age() {
    return confirmedAt.isPresent()
        ? OptionalLong.of(context.nowIncludingSuspensions() - confirmedAt.getAsLong())
        : OptionalLong.empty();
  }

  private void advanceTo(long time) {
    context.advanceTo(time);
    context.timers().runDue(time);
  }

  private void await() {
    freshness.await(
        KIND, remainingMillis, () -> done.add("step"), () -> refused.add(context.now()));
    context.timers().runDue(context.now());
  }

  private void confirm() {
    confirmedAt = OptionalLong.of(context.now());
    freshness.onConfirmed();
  }

  @Test
  void copyIsUncertainAfterAPauseUntilItIsConfirmed() {
    confirm();
    advanceTo(START + 2_600);
    assertTrue(freshness.isUncertain(KIND));

    await();
    assertEquals(1, refreshes);
    assertEquals(List.of(), done);

    advanceTo(START + 2_610);
    confirm();
    assertEquals(List.of("step"), done);
    assertFalse(freshness.isUncertain(KIND));
  }

  @Test
  void hostWithoutACopyDoesNotWaitForOne() {
    advanceTo(START + 60_000);
    assertFalse(freshness.isUncertain(KIND));
  }

  @Test
  void hostWhoseRefreshFailedDoesNotWait() {
    confirm();
    advanceTo(START + 1_900);
    freshness.onRefreshEnded(START + 1_000);
    assertFalse(freshness.isUncertain(KIND));

    advanceTo(START + 3_000);
    freshness.onRefreshEnded(START + 2_100);
    advanceTo(START + 4_900);
    assertFalse(freshness.isUncertain(KIND));
  }

  @Test
  void refreshDuringWhichTheHostStoodStillShowsNothing() {
    confirm();
    advanceTo(START + 4_000);
    await();
    freshness.onRefreshEnded(START + 1_100);
    context.timers().runDue(context.now());

    assertTrue(freshness.isUncertain(KIND));
    assertEquals(List.of(), done);
    assertEquals(2, refreshes);
  }

  @Test
  void hostThatStandsStillAfterAFailedRefreshIsUncertainAgain() {
    confirm();
    advanceTo(START + 1_900);
    freshness.onRefreshEnded(START + 1_000);

    advanceTo(START + 4_000);
    assertTrue(freshness.isUncertain(KIND));
  }

  @Test
  void refreshThatFailedBeforeAPauseDoesNotCountAfterIt() {
    confirm();
    advanceTo(START + 1_900);
    freshness.onRefreshEnded(START + 1_000);
    advanceTo(START + 2_800);
    context.recordDelay(900);

    assertTrue(freshness.isUncertain(KIND));
  }

  @Test
  void failedRefreshEndsTheWait() {
    confirm();
    advanceTo(START + 2_600);
    await();
    advanceTo(START + 3_000);
    freshness.onRefreshEnded(START + 2_600);
    assertEquals(List.of("step"), done);
  }

  @Test
  void waitEndsWithoutARefresh() {
    confirm();
    advanceTo(START + 2_600);
    await();
    advanceTo(START + 3_099);
    assertEquals(List.of(), done);
    advanceTo(START + 3_100);
    assertEquals(List.of("step"), done);
    assertFalse(freshness.isUncertain(KIND));
  }

  private void pause(long millis) {
    advanceTo(context.now() + millis);
    context.recordDelay(millis);
  }

  @Test
  void waitAfterAPauseDoesNotEndInTheUseOfTheOldCopyWhileTheStoreMayStillAnswer() {
    confirm();
    advanceTo(START + 500);
    pause(2_100);
    await();
    advanceTo(START + 3_100);

    assertEquals(List.of(), done);
    assertTrue(freshness.isUncertain(KIND));
  }

  private void pauseBesideAnOpenRead() {
    freshness.setOpenReads(kind -> true);
    confirm();
    advanceTo(START + 500);
    pause(2_100);
  }

  @Test
  void stepOfALateHostIsRefusedAtTheEndOfItsWait() {
    pauseBesideAnOpenRead();
    await();
    advanceTo(START + 3_099);
    assertEquals(List.of(), refused);
    advanceTo(START + 3_100);

    assertEquals(List.of(START + 3_100), refused);
    assertEquals(List.of(), done);
  }

  @Test
  void stepWithAShortDeadlineIsRefusedAfterAQuarterOfItsTime() {
    pauseBesideAnOpenRead();
    remainingMillis = 400;
    await();
    advanceTo(START + 2_700);

    assertEquals(List.of(START + 2_700), refused);
  }

  @Test
  void refreshWithAnOpenReadShowsNothingAfterAPause() {
    pauseBesideAnOpenRead();
    await();
    advanceTo(START + 2_900);
    freshness.onRefreshEnded(START + 2_600);
    assertEquals(List.of(), done);
    assertEquals(1, refreshes);

    confirm();
    assertEquals(List.of("step"), done);
    assertEquals(List.of(), refused);
  }

  @Test
  void refreshThatAPauseInterruptedShowsNothing() {
    confirm();
    advanceTo(START + 1_500);
    pause(600);
    await();
    freshness.onRefreshEnded(START + 1_400);
    context.timers().runDue(context.now());

    assertEquals(List.of(), done);
    assertEquals(2, refreshes);
  }

  @Test
  void refreshThatFailedAfterAPauseShowsThatTheHostIsCutOff() {
    pauseBesideAnOpenRead();
    freshness.setOpenReads(kind -> false);
    await();
    advanceTo(START + 2_700);
    freshness.onRefreshEnded(START + 2_600);

    assertEquals(List.of("step"), done);
    assertFalse(freshness.isUncertain(KIND));
  }

  @Test
  void hostIsNoLongerLateOneBoundAfterAPause() {
    pauseBesideAnOpenRead();
    advanceTo(START + 4_601);
    await();
    advanceTo(START + 5_101);

    assertEquals(List.of("step"), done);
    assertEquals(List.of(), refused);
  }

  @Test
  void hostThatWasCutOffBeforeAPauseIsNotLate() {
    freshness.setOpenReads(kind -> true);
    confirm();
    advanceTo(START + 1_900);
    pause(600);
    await();
    advanceTo(START + 3_000);

    assertEquals(List.of("step"), done);
    assertEquals(List.of(), refused);
  }

  @Test
  void shortDeadlineOfOneStepDecidesNothingForOthers() {
    confirm();
    advanceTo(START + 1_900);
    remainingMillis = 400;
    await();
    advanceTo(START + 2_000);

    assertEquals(List.of("step"), done);
    assertTrue(freshness.isUncertain(KIND));
  }
}
