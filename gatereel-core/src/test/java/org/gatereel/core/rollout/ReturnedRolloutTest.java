package org.gatereel.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ServiceName;
import org.junit.jupiter.api.Test;

/**
 * Guards against rollouts that restart, stop or are undone after the store's return from a copy.
 */
class ReturnedRolloutTest {
  private static final ServiceName SERVICE = new ServiceName("counters");
  private static final long DURATION_MILLIS = 60_000;
  private static final long STORE_MILLIS = 7_000_000;
  private static final long POLL_MILLIS = 600;
  private static final RolloutOrder ORDER = order("v2", 20);

  private final Host host = new Host(1, true);

  /** The rollout control of one host, and what it writes. */
  private static final class Host {
    final CoreContext context;
    final RolloutControl control;
    final List<RolloutRecord> writes = new ArrayList<>();
    long firstWriteAt = Long.MAX_VALUE;

    Host(long seed, boolean isReader) {
      context = new CoreContext(new HostId("h"), new DataCentre("a"), new SplittableRandom(seed));
      context.advanceTo(1_000);
      control = new RolloutControl(context, RolloutBounds.STANDARD);
      control.setRecordWriter(() -> isReader, order -> false, this::write);
    }

    private void write(RolloutWrite write) {
      writes.add(write.record());
      firstWriteAt = Math.min(firstWriteAt, context.now());
    }

    void readOrders(RolloutOrder... orders) {
      control.updateOrders(List.of(orders), context.now());
    }

    void readRows(RolloutRecord... rows) {
      control.updateRecords(List.of(rows), STORE_MILLIS + context.now(), context.now());
    }

    /** Knows an order and its row. */
    Host knowing(RolloutOrder order, RolloutRecord row) {
      readOrders(order);
      readRows(row);
      pass(100);
      return this;
    }

    /** Notices that the store has returned from an older copy. */
    Host afterReturn() {
      control.recordStoreReturn();
      pass(100);
      writes.clear();
      return this;
    }

    void pass(long millis) {
      for (long end = context.now() + millis; context.now() < end; ) {
        context.advanceTo(Math.min(end, context.now() + 20));
        context.timers().runDue(context.now());
        context.takeActions();
      }
    }

    boolean triesOutNewVersion() {
      return IntStream.range(0, 400)
          .anyMatch(
              request ->
                  control.ruleForNewRequest(SERVICE, "route").equals(VersionRule.only("v2")));
    }
  }

  private static RolloutOrder order(String version, long revision) {
    return new RolloutOrder(SERVICE, version, DURATION_MILLIS, revision);
  }

  private static RolloutRecord row(RolloutState state, long orderRevision, long revision) {
    return new RolloutRecord(
        SERVICE, "v2", orderRevision, STORE_MILLIS, DURATION_MILLIS, state, revision);
  }

  @Test
  void newOrderWithALowerRevisionIsTakenAfterTheReturn() {
    host.knowing(ORDER, row(RolloutState.COMPLETED, 20, 50)).afterReturn();
    host.readOrders();
    host.pass(POLL_MILLIS);
    host.readOrders(order("v3", 12));
    host.readRows();
    host.pass(200);

    assertTrue(
        host.writes.stream().anyMatch(write -> write.version().equals("v3")),
        () -> "" + host.writes);
  }

  @Test
  void theSameOrderWrittenAgainDoesNotRestartARolloutThatHasEnded() {
    host.knowing(ORDER, row(RolloutState.ROLLED_BACK, 20, 50)).afterReturn();
    host.readOrders(order("v2", 25));
    host.readRows();
    host.pass(POLL_MILLIS);

    assertTrue(
        host.writes.stream().allMatch(write -> write.state() == RolloutState.ROLLED_BACK),
        () -> "" + host.writes);
  }

  @Test
  void theSameOrderWrittenAgainDoesNotRestartARunningRollout() {
    host.knowing(ORDER, row(RolloutState.RUNNING, 20, 50)).afterReturn();
    host.readOrders(order("v2", 25));
    host.pass(POLL_MILLIS);

    assertTrue(host.control.isRunning(SERVICE));
  }

  /** The copy may hold the order before the known one, which operators then write again. */
  @Test
  void orderOfTheCopyDoesNotReplaceTheKnownOne() {
    host.readOrders(order("v1", 10));
    host.knowing(ORDER, row(RolloutState.RUNNING, 20, 50)).afterReturn();
    host.readOrders(order("v1", 10));
    host.pass(POLL_MILLIS);
    host.readOrders(order("v2", 14));
    host.pass(POLL_MILLIS);

    assertTrue(host.control.isRunning(SERVICE));
    assertTrue(
        host.control.describe().get(0).contains("version=v2"), host.control.describe()::toString);
  }

  @Test
  void anotherOrderOfTheSameVersionIsNewOnceTheKnownOneWasSeenInTheCopy() {
    host.knowing(ORDER, row(RolloutState.ROLLED_BACK, 20, 50)).afterReturn();
    host.readOrders(ORDER);
    host.readRows(row(RolloutState.ROLLED_BACK, 20, 30));
    host.pass(POLL_MILLIS);
    host.readOrders(order("v2", 31));
    host.readRows(row(RolloutState.ROLLED_BACK, 20, 30));
    host.pass(200);

    assertEquals(RolloutState.RUNNING, host.writes.get(0).state());
    assertEquals(31, host.writes.get(0).orderRevision());
  }

  @Test
  void runningRolloutGoesOnWithARowOfALowerRevision() {
    host.knowing(ORDER, row(RolloutState.RUNNING, 20, 50)).afterReturn();
    for (int reading = 0; reading < 8; reading++) {
      host.readOrders(ORDER);
      host.readRows(row(RolloutState.RUNNING, 20, 30));
      host.pass(POLL_MILLIS);
    }

    assertTrue(host.triesOutNewVersion());
  }

  @Test
  void lostRowOfARunningRolloutIsWrittenAgainWithItsStart() {
    host.knowing(ORDER, row(RolloutState.RUNNING, 20, 50)).afterReturn();
    host.readOrders(order("v2", 25));
    host.readRows();
    host.pass(200);

    assertEquals(List.of(row(RolloutState.RUNNING, 25, 0)), host.writes);
  }

  @Test
  void lostEndIsWrittenAgainOverTheEarlierRowByTheReaderAtOnce() {
    host.knowing(ORDER, row(RolloutState.COMPLETED, 20, 50)).afterReturn();
    host.readOrders(ORDER);
    host.readRows(row(RolloutState.RUNNING, 20, 30));
    host.pass(200);

    assertEquals(List.of(row(RolloutState.COMPLETED, 20, 30)), host.writes);
    assertEquals(VersionRule.prefer("v2"), host.control.rule(SERVICE));
  }

  @Test
  void lostEndIsWrittenAgainIfNoRowIsLeft() {
    host.knowing(ORDER, row(RolloutState.ROLLED_BACK, 20, 50)).afterReturn();
    host.readOrders(order("v2", 9));
    host.readRows();
    host.pass(200);

    assertEquals(List.of(row(RolloutState.ROLLED_BACK, 9, 0)), host.writes);
  }

  @Test
  void otherEndThatWasWrittenLateIsReplacedByTheKnownOne() {
    host.knowing(ORDER, row(RolloutState.ROLLED_BACK, 20, 50)).afterReturn();
    host.readOrders(ORDER);
    host.readRows(row(RolloutState.COMPLETED, 20, 31));
    host.pass(200);

    assertEquals(List.of(row(RolloutState.ROLLED_BACK, 20, 31)), host.writes);
  }

  @Test
  void rowsOfEndedRolloutsAreReadAgainAfterTheReturn() {
    host.knowing(ORDER, row(RolloutState.COMPLETED, 20, 50));
    assertFalse(host.control.needsRecords());
    host.afterReturn();
    assertTrue(host.control.needsRecords());
    host.readOrders(ORDER);
    host.readRows(row(RolloutState.COMPLETED, 20, 30));
    host.pass(60_000);

    assertFalse(host.control.needsRecords());
    assertEquals(List.of(), host.writes);
  }

  /** The first writer's row is read within a second, so that few others write it too. */
  @Test
  void fewHostsWriteALostEndAgainIfTheReaderDoesNot() {
    List<Host> hosts = IntStream.range(0, 95).mapToObj(seed -> new Host(seed, false)).toList();
    for (Host other : hosts) {
      other.knowing(ORDER, row(RolloutState.COMPLETED, 20, 50)).afterReturn();
      for (int reading = 0; reading < 10; reading++) {
        other.readOrders(ORDER);
        other.readRows(row(RolloutState.RUNNING, 20, 30));
        other.pass(POLL_MILLIS);
      }
    }
    long first = hosts.stream().mapToLong(other -> other.firstWriteAt).min().orElseThrow();
    long writers = hosts.stream().filter(other -> other.firstWriteAt < first + 1_000).count();

    assertTrue(first > 2_000 && first < 6_000, "first write at " + first);
    assertTrue(writers <= 25, "writers: " + writers);
  }

  /** A host that has started since does not know an end that others are about to write again. */
  @Test
  void hostThatFindsAnOverdueRolloutLeavesItsEndToHostsThatKnowIt() {
    RolloutRecord overdue =
        new RolloutRecord(
            SERVICE,
            "v2",
            20,
            STORE_MILLIS - 2 * DURATION_MILLIS,
            DURATION_MILLIS,
            RolloutState.RUNNING,
            30);
    for (int reading = 0; reading < 8; reading++) {
      host.readOrders(ORDER);
      host.readRows(overdue);
      host.pass(POLL_MILLIS);
    }
    assertEquals(List.of(), host.writes);

    for (int reading = 0; reading < 4; reading++) {
      host.readRows(overdue);
      host.pass(POLL_MILLIS);
    }
    assertEquals(RolloutState.ROLLED_BACK, host.writes.get(0).state());
  }

  @Test
  void nothingIsWrittenUponReadingsFromBeforeTheReturn() {
    host.knowing(ORDER, row(RolloutState.RUNNING, 20, 50));
    long before = host.context.now();
    host.pass(1_000);
    host.control.recordStoreReturn();
    host.writes.clear();
    for (int tick = 0; tick < 120; tick++) {
      host.control.confirmOrders(before);
      host.control.updateRecords(
          List.of(row(RolloutState.RUNNING, 20, 50)), STORE_MILLIS + before, before);
      host.pass(POLL_MILLIS);
    }
    assertEquals(List.of(), host.writes);

    host.readOrders(ORDER);
    host.readRows(row(RolloutState.RUNNING, 20, 30));
    host.pass(500);
    assertEquals(List.of(row(RolloutState.ROLLED_BACK, 20, 30)), host.writes.subList(0, 1));
  }

  @Test
  void initialRowIsNotConditionedOnARowFromBeforeTheReturn() {
    host.knowing(ORDER, row(RolloutState.COMPLETED, 20, 50)).afterReturn();
    host.readOrders(ORDER);
    host.pass(POLL_MILLIS);
    host.readOrders(order("v3", 31));
    host.pass(POLL_MILLIS);
    assertEquals(List.of(), host.writes);

    host.readRows(row(RolloutState.COMPLETED, 20, 30));
    host.pass(200);
    assertEquals(30, host.writes.get(0).revision());
  }
}
