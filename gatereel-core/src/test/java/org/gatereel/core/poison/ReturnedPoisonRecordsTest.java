package org.gatereel.core.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.HashCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

/** Guards against poison requests that the store forgets with its return from an older copy. */
class ReturnedPoisonRecordsTest {
  private static final int MAX_ROWS_PER_WRITE = 50;
  private static final long POLL_MILLIS = 600;
  private static final RequestFeatures REQUEST = request(1);

  private final Host host = new Host(1, true);

  /** The records of one host, and the rows that it writes. */
  private static final class Host {
    final CoreContext context;
    final PoisonControl control;
    final PoisonRecords records;
    final List<List<PoisonFact>> writes = new ArrayList<>();
    long firstWriteAt = Long.MAX_VALUE;

    Host(long seed, boolean isReader) {
      context = new CoreContext(new HostId("h"), new DataCentre("a"), new SplittableRandom(seed));
      context.advanceTo(10_000);
      control = new PoisonControl(context);
      records =
          new PoisonRecords(
              context,
              control,
              () -> isReader,
              (facts, done) -> {
                writes.add(facts);
                firstWriteAt = Math.min(firstWriteAt, context.now());
                context.schedule(5, () -> done.accept(true));
              });
      records.onRowsRead(List.of(), context.now());
    }

    void pass(long millis) {
      for (long end = context.now() + millis; context.now() < end; ) {
        context.advanceTo(Math.min(end, context.now() + 20));
        context.timers().runDue(context.now());
        context.takeActions();
      }
    }

    /** Knows that these targets ended. */
    Host knowing(String... targets) {
      control.merge(facts(REQUEST, targets));
      pass(100);
      return this;
    }

    /** Notices that the store has returned from an older copy. */
    Host afterReturn() {
      records.recordStoreReturn();
      pass(100);
      writes.clear();
      return this;
    }

    void read(List<PoisonFact> rows) {
      records.onRowsRead(rows, context.now());
      pass(POLL_MILLIS);
    }

    Set<TargetId> written() {
      return writes.stream()
          .flatMap(List::stream)
          .flatMap(fact -> fact.ended().stream())
          .collect(Collectors.toSet());
    }
  }

  private static RequestFeatures request(int number) {
    return RequestFeatures.of(Optional.empty(), () -> HashCode.fromInt(number), "", List.of());
  }

  private static List<PoisonFact> facts(RequestFeatures request, String... targets) {
    List<PoisonFact> facts = new ArrayList<>();
    for (String target : targets) {
      long at = 1_000L * (target.hashCode() % 100);
      facts.add(PoisonFact.end(request.content(), new TargetId(target), at - 300, at));
    }
    return facts;
  }

  private static Set<TargetId> targets(String... names) {
    return Set.of(names).stream().map(TargetId::new).collect(Collectors.toSet());
  }

  @Test
  void lostEndsAreWrittenAgainByTheReaderAtOnce() {
    host.knowing("a", "b", "c").afterReturn();
    host.read(facts(REQUEST, "a"));

    assertEquals(targets("b", "c"), host.written());
    assertEquals(1, host.writes.size());
  }

  @Test
  void requestStaysHeldThoughTheStoreHasForgottenIt() {
    host.knowing("a", "b", "c").afterReturn();
    host.read(List.of());

    assertTrue(host.control.findQuarantined(REQUEST).isPresent());
  }

  @Test
  void lostSuccessIsWrittenAgainIfTheCopyContainsTheEnds() {
    host.knowing("a", "b");
    host.control.recordSuccess(REQUEST);
    host.afterReturn();
    host.read(facts(REQUEST, "a", "b"));

    assertEquals(1, host.writes.size());
    assertTrue(host.writes.get(0).get(0).isClearing());
  }

  @Test
  void rowsAreReadAgainAfterTheReturnForAWhile() {
    host.knowing("a", "b", "c");
    host.read(facts(REQUEST, "a", "b", "c"));
    assertFalse(host.records.needsReading());
    host.afterReturn();
    assertTrue(host.records.needsReading());
    for (int reading = 0; reading < 12; reading++) {
      host.read(facts(REQUEST, "a", "b", "c"));
    }

    assertFalse(host.records.needsReading());
    assertEquals(List.of(), host.writes);
  }

  @Test
  void readingsFromBeforeTheReturnShowNothingLost() {
    host.knowing("a", "b", "c");
    long before = host.context.now();
    host.pass(100);
    host.afterReturn();
    host.records.onRowsRead(List.of(), before);
    host.pass(POLL_MILLIS);

    assertEquals(List.of(), host.writes);
    assertTrue(host.records.needsReading());
  }

  @Test
  void otherHostsDoNotWriteWhatALaterReadingContains() {
    Host other = new Host(2, false).knowing("a", "b", "c").afterReturn();
    other.read(facts(REQUEST, "a"));
    for (int reading = 0; reading < 12; reading++) {
      other.read(facts(REQUEST, "a", "b", "c"));
    }

    assertEquals(List.of(), other.writes);
  }

  /** The first writer's rows are read within a second, so that few others write them too. */
  @Test
  void fewHostsWriteLostEndsAgainIfTheReaderDoesNot() {
    List<Host> hosts = IntStream.range(0, 95).mapToObj(seed -> new Host(seed, false)).toList();
    for (Host other : hosts) {
      other.knowing("a", "b", "c").afterReturn();
      for (int reading = 0; reading < 10; reading++) {
        other.read(List.of());
      }
    }
    long first = hosts.stream().mapToLong(other -> other.firstWriteAt).min().orElseThrow();
    long writers = hosts.stream().filter(other -> other.firstWriteAt < first + 1_000).count();

    assertTrue(first > 11_000 && first < 15_000, "first write at " + first);
    assertTrue(writers <= 25, "writers: " + writers);
  }

  @Test
  void manyLostEndsAreWrittenWithinTheLimitOfATransaction() {
    int requests = 400;
    for (int number = 0; number < requests; number++) {
      host.control.merge(facts(request(number), "a" + number, "b" + number));
    }
    host.afterReturn();
    List<PoisonFact> store = new ArrayList<>();
    for (int reading = 0; reading < 10; reading++) {
      host.read(List.copyOf(store));
      host.writes.forEach(store::addAll);
      host.writes.forEach(
          write -> assertTrue(write.size() <= MAX_ROWS_PER_WRITE, "rows: " + write.size()));
      host.writes.clear();
    }

    assertEquals(2 * requests, store.stream().distinct().count());
    assertEquals(2 * requests, store.size());
  }
}
