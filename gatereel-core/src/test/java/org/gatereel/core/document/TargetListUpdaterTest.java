package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;
import org.junit.jupiter.api.Test;

class TargetListUpdaterTest {
  private static final ServiceName ENGINES = new ServiceName("engines");
  private static final DataCentre NORTH = new DataCentre("north");

  private final CoreContext context =
      new CoreContext(new HostId("host"), NORTH, new SplittableRandom(1));
  private final TargetRegistry registry = new TargetRegistry(context, new PolicyTable());
  private final TargetListUpdater updater = new TargetListUpdater(context, registry, 2_000);
  private long version;

  private HostList list(String... ids) {
    List<TargetDescription> targets = Stream.of(ids).map(id -> target(id, LifeState.LIVE)).toList();
    return new HostList(++version, List.of(), targets);
  }

  private static TargetDescription target(String id, LifeState state) {
    Address address = new Address("10.0.0." + id.charAt(1), 80);
    return new TargetDescription(
        new TargetId(id), TargetKind.ENGINE, ENGINES, NORTH, address, 8, state);
  }

  private Set<String> usable() {
    return registry.notLeaving(ENGINES).stream()
        .map(target -> target.description().id().value())
        .collect(Collectors.toSet());
  }

  @Test
  void missingEntryRemovesTarget() {
    updater.update(list("e1", "e2"), 0);
    updater.update(list("e1", "e2"), 1_000);
    updater.update(list("e1"), 2_000);
    updater.update(list("e1"), 2_600);
    assertEquals(Set.of("e1"), usable());
  }

  @Test
  void expiredEntriesAreKeptForReregistrationAfterStoreOutage() {
    updater.update(list("e1", "e2", "e3"), 0);
    updater.update(list("e1"), 5_000);
    updater.update(list("e1", "e2"), 6_900);
    assertEquals(Set.of("e1", "e2", "e3"), usable());
    updater.update(list("e1", "e2"), 7_000);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  @Test
  void targetListedAsLeavingAfterStoreOutageIsRemoved() {
    updater.update(list("e1", "e2"), 0);
    updater.update(
        new HostList(++version, List.of(), List.of(target("e2", LifeState.LEAVING))), 5_000);
    assertEquals(Set.of("e1"), usable());
  }

  private void advanceTo(long time) {
    context.advanceTo(time);
    context.timers().runDue(time);
  }

  /** Guards against keeping targets that leave just after the start of this host. */
  @Test
  void targetThatLeavesAfterTheFirstListIsRemovedAtOnce() {
    updater.update(list("e1", "e2"), 0);
    updater.update(list("e1"), 600);
    assertEquals(Set.of("e1"), usable());
  }

  /** Guards against keeping targets that leave just after this host was disconnected. */
  @Test
  void targetThatLeavesAfterTheFirstListSinceAGapIsRemovedAtOnce() {
    updater.update(list("e1", "e2", "e3"), 0);
    updater.update(list("e1", "e2", "e3"), 5_000);
    updater.update(list("e1", "e2"), 5_600);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against keeping targets that left during the gap until the list after the next one. */
  @Test
  void targetThatLeftDuringAGapIsRemovedWithinTheBoundWithoutAnotherList() {
    advanceTo(5_000);
    updater.update(list("e1", "e2", "e3"), 0);
    HostList afterGap = list("e1", "e2");
    updater.update(afterGap, 5_000);
    updater.update(afterGap, 5_600);
    assertEquals(Set.of("e1", "e2", "e3"), usable());
    advanceTo(6_000);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against dropping live targets that register again late after an outage. */
  @Test
  void returningEntryExtendsTheTimeForTheOthersToRegisterAgain() {
    advanceTo(5_000);
    updater.update(list("e1", "e2", "e3", "e4", "e5"), 0);
    updater.update(list("e1", "e2", "e3"), 5_000);
    updater.update(list("e1", "e2", "e3", "e4"), 5_600);
    advanceTo(6_999);
    assertEquals(Set.of("e1", "e2", "e3", "e4", "e5"), usable());
    advanceTo(7_000);
    assertEquals(Set.of("e1", "e2", "e3", "e4"), usable());
  }

  /** Guards against dropping live targets while the store is away again. */
  @Test
  void targetsAreRetainedWhileNoOtherListFollowsTheGap() {
    advanceTo(5_000);
    updater.update(list("e1", "e2", "e3"), 0);
    updater.update(list("e1"), 5_000);
    advanceTo(9_000);
    assertEquals(Set.of("e1", "e2", "e3"), usable());
    updater.update(list("e1", "e2"), 9_000);
    assertEquals(Set.of("e1", "e2", "e3"), usable());
  }

  /** Guards against new requests to targets that left while this host stood still. */
  @Test
  void targetThatLeftDuringAPauseOfThisHostIsRemovedAtOnce() {
    updater.update(list("e1", "e2", "e3"), 0);
    context.advanceTo(2_600);
    context.recordDelay(2_100);
    updater.update(list("e1", "e2"), 2_600);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against dropping live targets if the store was away while this host stood still. */
  @Test
  void expiredEntriesAreKeptAfterAPauseIfMostAreMissing() {
    updater.update(list("e1", "e2", "e3"), 0);
    context.advanceTo(5_000);
    context.recordDelay(4_500);
    updater.update(list("e1"), 5_000);
    assertEquals(Set.of("e1", "e2", "e3"), usable());
  }

  /** With a long bound, lists arrive rarely without a store outage. */
  @Test
  void longUpdateIntervalsAreNotTreatedAsStoreOutage() {
    TargetListUpdater infrequentUpdater = new TargetListUpdater(context, registry, 12_000);
    infrequentUpdater.update(list("e1", "e2"), 0);
    infrequentUpdater.update(list("e1", "e2"), 3_600);
    infrequentUpdater.update(list("e1"), 7_200);
    assertEquals(Set.of("e1"), usable());
  }

  @Test
  void olderListIsIgnored() {
    updater.update(list("e1", "e2"), 5_000);
    updater.update(list("e1", "e2"), 7_500);
    updater.update(list("e1"), 7_400);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against requests to targets that left after the copy of a returned store was made. */
  @Test
  void removedTargetsOfTheCopyAreNotUsedUntilTheirEntriesWouldHaveExpired() {
    updater.update(list("e1", "e2"), 0);
    updater.update(list("e2"), 600);
    updater.recordStoreReturn();
    updater.update(list("e1", "e2"), 1_200);
    assertEquals(Set.of("e2"), usable());
    updater.update(list("e1", "e2"), 6_100);
    assertEquals(Set.of("e2"), usable());
    updater.update(list("e1", "e2"), 6_200);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against passing over a target that registers again after the store has returned. */
  @Test
  void removedTargetOfTheCopyThatRegistersAgainIsUsed() {
    updater.update(list("e1", "e2"), 0);
    updater.update(list("e2"), 600);
    updater.recordStoreReturn();
    updater.update(list("e1", "e2"), 1_200);
    updater.update(list("e2"), 1_800);
    updater.update(list("e1", "e2"), 2_400);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against dropping live targets that registered after the copy was made. */
  @Test
  void targetsThatTheCopyLacksAreKeptForReregistration() {
    updater.update(list("e1", "e2", "e3"), 0);
    updater.recordStoreReturn();
    updater.update(list("e1", "e2"), 600);
    assertEquals(Set.of("e1", "e2", "e3"), usable());
    updater.update(list("e1", "e2"), 2_500);
    updater.update(list("e1", "e2"), 3_500);
    assertEquals(Set.of("e1", "e2", "e3"), usable());
    updater.update(list("e1", "e2"), 3_600);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against dropping a target whose new entry is on its way through two lists. */
  @Test
  void targetThatRegistersAgainTwoSecondsAfterTheReturnIsNeverDropped() {
    updater.update(list("e1", "e2", "e3"), 0);
    updater.recordStoreReturn();
    updater.update(list("e1", "e2"), 600);
    updater.update(list("e1", "e2"), 2_500);
    advanceTo(3_500);
    assertEquals(Set.of("e1", "e2", "e3"), usable());
    updater.update(list("e1", "e2", "e3"), 3_500);
    assertEquals(Set.of("e1", "e2", "e3"), usable());
  }

  /** Guards against a host that starts after a return and uses targets that have left. */
  @Test
  void targetThatAnotherHostExcludesIsNotUsedUntilItsEntryWouldHaveExpired() {
    updater.excludeAtStart(Set.of(new TargetId("e2"), new TargetId("e9")));
    updater.update(list("e1", "e2"), 600);
    assertEquals(Set.of("e1"), usable());
    updater.update(list("e1", "e2"), 5_000);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against a live target that hosts exclude for ever, since each tells the next one. */
  @Test
  void targetThatAnotherHostExcludesIsNotPassedOn() {
    updater.excludeAtStart(Set.of(new TargetId("e2")));
    updater.update(list("e1", "e2"), 600);
    assertEquals(Set.of(), updater.excluded());
  }

  /** Guards against a host without new lists that tells others to exclude a target for ever. */
  @Test
  void removedTargetIsPassedOnUntilItsEntryWouldHaveExpired() {
    updater.update(list("e1", "e2"), 0);
    updater.update(list("e1"), 600);
    updater.recordStoreReturn();
    updater.update(list("e1", "e2"), 1_200);
    advanceTo(6_199);
    assertEquals(Set.of(new TargetId("e2")), updater.excluded());
    advanceTo(6_200);
    assertEquals(Set.of(), updater.excluded());
  }

  /** Guards against a target that comes back with a second return at a host that never knew it. */
  @Test
  void targetThatAnotherHostExcludesIsNotUsedAfterASecondReturn() {
    updater.excludeAtStart(Set.of(new TargetId("e2")));
    updater.update(list("e1", "e2"), 600);
    updater.recordStoreReturn();
    updater.update(list("e1", "e2"), 1_200);
    assertEquals(Set.of("e1"), usable());
  }
}
