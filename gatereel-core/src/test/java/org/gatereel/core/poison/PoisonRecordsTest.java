package org.gatereel.core.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

/** What hosts write into the store of requests under which targets end, and when they read it. */
class PoisonRecordsTest {
  private static final Fingerprint FATAL = new Fingerprint("fatal");

  private final CoreContext context =
      new CoreContext(new HostId("h"), new DataCentre("north"), new SplittableRandom(1));
  private final PoisonControl control = new PoisonControl(context);
  private final List<List<PoisonFact>> written = new ArrayList<>();
  private final List<Consumer<Boolean>> settled = new ArrayList<>();
  private final PoisonRecords records =
      new PoisonRecords(
          context,
          control,
          (facts, done) -> {
            written.add(facts);
            settled.add(done);
          });

  private static PoisonFact end(String target) {
    long at = 1_000L * target.hashCode();
    return PoisonFact.end(FATAL, new TargetId(target), at - 300, at);
  }

  private void ended(String target) {
    control.ended(end(target));
  }

  private void pass(long millis) {
    context.advanceTo(context.now() + millis);
    context.timers().runDue(context.now());
  }

  @Test
  void aSingleEndIsNotWritten() {
    ended("a");

    assertEquals(List.of(), written);
  }

  @Test
  void theSecondEndIsWrittenWithTheFirstWhoeverSawThat() {
    control.merge(List.of(end("a")));
    ended("b");

    assertEquals(2, written.get(0).size());
  }

  @Test
  void whatOthersSawIsTheirsToWrite() {
    control.merge(List.of(end("a"), end("b")));

    assertEquals(List.of(), written);
  }

  @Test
  void whatTheStoreDidNotTakeIsWrittenAgain() {
    ended("a");
    ended("b");
    settled.get(0).accept(false);
    ended("c");
    assertEquals(1, written.size());
    pass(500);

    assertEquals(3, written.get(1).size());
    settled.get(1).accept(true);
    assertEquals(2, written.size());
  }

  @Test
  void rowsAreReadAfterAStartAndOnceAfterEachFurtherEndOfARequest() {
    assertTrue(records.needsReading());
    pass(1_000);
    records.learn(List.of(), context.now());
    assertFalse(records.needsReading());

    pass(1_000);
    ended("a");
    assertFalse(records.needsReading());
    control.merge(List.of(end("b")));
    assertTrue(records.needsReading());
    long askedBefore = context.now() - 10;
    records.learn(List.of(), askedBefore);
    assertTrue(records.needsReading());
    pass(10);
    records.learn(List.of(end("c")), context.now());
    assertFalse(records.needsReading());
  }

  @Test
  void whatTheStoreHoldsIsHeldBackAfterAStart() {
    records.learn(List.of(end("a"), end("b"), end("c")), context.now());

    assertTrue(control.isHeld(() -> FATAL));
    assertEquals(List.of(), written);
  }

  @Test
  void thatARequestRunsWellIsWrittenWhereItsEndsStand() {
    ended("a");
    ended("b");
    settled.get(0).accept(true);
    control.ranWell(() -> FATAL);

    assertEquals(1, written.get(1).size());
    assertTrue(written.get(1).get(0).isSound());
  }
}
