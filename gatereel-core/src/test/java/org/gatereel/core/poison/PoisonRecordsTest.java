package org.gatereel.core.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.HashCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

/** When facts about poison requests are written to the store and read from it. */
class PoisonRecordsTest {
  private static final RequestFeatures REQUEST =
      RequestFeatures.of(Optional.empty(), () -> HashCode.fromInt(1), "", List.of());
  private static final Fingerprint POISON = REQUEST.content();

  private final CoreContext context =
      new CoreContext(new HostId("h"), new DataCentre("north"), new SplittableRandom(1));
  private final PoisonControl control = new PoisonControl(context);
  private final List<List<PoisonFact>> written = new ArrayList<>();
  private final List<Consumer<Boolean>> pendingWrites = new ArrayList<>();
  private final PoisonRecords records =
      new PoisonRecords(
          context,
          control,
          () -> true,
          (facts, done) -> {
            written.add(facts);
            pendingWrites.add(done);
          });

  private static PoisonFact end(String target) {
    long at = 1_000L * target.hashCode();
    return PoisonFact.end(POISON, new TargetId(target), at - 300, at);
  }

  private void recordEnd(String target) {
    PoisonFact end = end(target);
    control.recordEnd(REQUEST, new TargetId(target), end.sentAt(), end.at());
  }

  private void pass(long millis) {
    context.advanceTo(context.now() + millis);
    context.timers().runDue(context.now());
  }

  @Test
  void aSingleEndIsNotWritten() {
    recordEnd("a");

    assertEquals(List.of(), written);
  }

  @Test
  void theSecondEndIsWrittenTogetherWithTheFirstOfAnyHost() {
    control.merge(List.of(end("a")));
    recordEnd("b");

    assertEquals(2, written.get(0).size());
  }

  @Test
  void factsObservedByOtherHostsAreNotWritten() {
    control.merge(List.of(end("a"), end("b")));

    assertEquals(List.of(), written);
  }

  @Test
  void factsThatTheStoreDidNotAcceptAreWrittenAgain() {
    recordEnd("a");
    recordEnd("b");
    pendingWrites.get(0).accept(false);
    recordEnd("c");
    assertEquals(1, written.size());
    pass(500);

    assertEquals(3, written.get(1).size());
    pendingWrites.get(1).accept(true);
    assertEquals(2, written.size());
  }

  @Test
  void rowsAreReadAtStartAndOnceAfterEachFurtherEndOfARequest() {
    assertTrue(records.needsReading());
    pass(1_000);
    records.onRowsRead(List.of(), context.now());
    assertFalse(records.needsReading());

    pass(1_000);
    recordEnd("a");
    assertFalse(records.needsReading());
    control.merge(List.of(end("b")));
    assertTrue(records.needsReading());
    long askedBefore = context.now() - 10;
    records.onRowsRead(List.of(), askedBefore);
    assertTrue(records.needsReading());
    pass(10);
    records.onRowsRead(List.of(end("c")), context.now());
    assertFalse(records.needsReading());
  }

  @Test
  void requestsAreQuarantinedByTheRowsReadAtStart() {
    records.onRowsRead(List.of(end("a"), end("b"), end("c")), context.now());

    assertTrue(control.findQuarantined(REQUEST).isPresent());
    assertEquals(List.of(), written);
  }

  @Test
  void aSuccessfulExecutionIsWrittenIfEndsWereWritten() {
    recordEnd("a");
    recordEnd("b");
    pendingWrites.get(0).accept(true);
    control.recordSuccess(REQUEST);

    assertEquals(1, written.get(1).size());
    assertTrue(written.get(1).get(0).isClearing());
  }
}
