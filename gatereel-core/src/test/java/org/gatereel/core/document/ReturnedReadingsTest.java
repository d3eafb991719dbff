package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
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

/** What a host does with documents that it reads around a return of the store. */
class ReturnedReadingsTest {
  private static final ServiceName ENGINES = new ServiceName("engines");
  private static final DataCentre NORTH = new DataCentre("north");
  private static final Address PEER = new Address("10.0.1.1", 7000);

  private final CoreContext context =
      new CoreContext(new HostId("host"), NORTH, new SplittableRandom(1));
  private final TargetRegistry registry = new TargetRegistry(context, new PolicyTable());
  private final TargetListUpdater updater = new TargetListUpdater(context, registry, 2_000);
  private final DocumentCache cache = new DocumentCache();
  private final DocumentUpdater documents =
      new DocumentUpdater(context, cache, (document, result) -> use(document));
  private long version;

  ReturnedReadingsTest() {
    documents.history().onReturnOf(DocumentKind.TARGETS, updater::recordStoreReturn);
  }

  private void use(SharedDocument document) {
    if (document.kind() == DocumentKind.TARGETS) {
      updater.update(list(document.content().split(",")), document.confirmedAt());
    }
  }

  private HostList list(String... ids) {
    return new HostList(
        ++version, List.of(), Stream.of(ids).map(ReturnedReadingsTest::target).toList());
  }

  private static TargetDescription target(String id) {
    Address address = new Address("10.0.0." + id.charAt(1), 80);
    return new TargetDescription(
        new TargetId(id), TargetKind.ENGINE, ENGINES, NORTH, address, 8, LifeState.LIVE);
  }

  private Set<String> usable() {
    return registry.notLeaving(ENGINES).stream()
        .map(target -> target.description().id().value())
        .collect(Collectors.toSet());
  }

  private void advanceTo(long time) {
    context.advanceTo(time);
    context.timers().runDue(time);
  }

  private void listAt(long time, String... ids) {
    advanceTo(time);
    updater.update(list(ids), time);
  }

  private void fromStore(DocumentKind kind, String text, long era, long number, long queriedAt) {
    documents.updateFromStore(
        kind,
        new DocumentSources.StoreResponse.Read(text, text, new StoreVersion(era, number)),
        queriedAt);
  }

  private static DocumentSources.PeerDocument peer(
      DocumentKind kind, String text, long era, long number, long age, long readMillis) {
    return new DocumentSources.PeerDocument(
        kind, Optional.of(text), text, new StoreVersion(era, number), age, readMillis);
  }

  /** Guards against live targets that are excluded since their entry had once lapsed. */
  @Test
  void targetThatRegisteredAgainBeforeTheReturnIsUsed() {
    listAt(0, "e1", "e2");
    listAt(600, "e1");
    listAt(1_200, "e1", "e2");
    for (long time = 1_800; time < 20_000; time += 600) {
      listAt(time, "e1", "e2");
    }
    updater.recordStoreReturn();
    listAt(20_000, "e1", "e2");
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against a list of the copy that is taken for one of a store without a return. */
  @Test
  void listOfTheCopyThatWasReadBeforeTheOtherDocumentKeepsTargetsThatItLacks() {
    advanceTo(10_000);
    documents.updateFromPeer(PEER, peer(DocumentKind.CONFIGURATION, "a", 1, 500, 50, 10), 10_000);
    documents.updateFromPeer(PEER, peer(DocumentKind.TARGETS, "e1,e2", 1, 500, 50, 10), 10_000);
    advanceTo(11_000);
    documents.updateFromPeer(PEER, peer(DocumentKind.CONFIGURATION, "b", 2, 300, 10, 5), 11_000);
    documents.updateFromPeer(PEER, peer(DocumentKind.TARGETS, "e1", 2, 299, 600, 5), 11_000);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against the same where the store tells no era. */
  @Test
  void returnBetweenTwoReadsOfARefreshKeepsTargetsThatTheCopyLacks() {
    advanceTo(1_020);
    fromStore(DocumentKind.CONFIGURATION, "a", -1, 490, 1_000);
    fromStore(DocumentKind.TARGETS, "e1,e2", -1, 490, 1_000);
    advanceTo(1_620);
    fromStore(DocumentKind.CONFIGURATION, "a", -1, 500, 1_600);
    advanceTo(2_220);
    fromStore(DocumentKind.TARGETS, "e1", -1, 300, 1_600);
    assertEquals(Set.of("e1", "e2"), usable());
  }

  /** Guards against an old version that each overlapping reading keeps in force. */
  @Test
  void changeIsUsedWhileReadsOverlap() {
    long time = 0;
    advanceTo(1_300);
    fromStore(DocumentKind.CONFIGURATION, "a", -1, 500, 0);
    for (int read = 1; read < 8; read++) {
      time = 600L * read;
      advanceTo(time + 1_300);
      fromStore(DocumentKind.CONFIGURATION, "a", -1, 300 + read, time);
    }
    time += 600;
    advanceTo(time + 1_300);
    fromStore(DocumentKind.CONFIGURATION, "b", -1, 310, time);
    assertEquals("b", cache.find(DocumentKind.CONFIGURATION).get().content());
  }

  /** Guards against a host of an earlier version whose readings overlap all others. */
  @Test
  void hostThatTellsNoEraDoesNotBringBackTheEarlierOne() {
    advanceTo(10_000);
    fromStore(DocumentKind.TARGETS, "e1,e2", 1, 500, 9_990);
    advanceTo(30_000);
    fromStore(DocumentKind.TARGETS, "e1,e3", 2, 300, 29_990);
    advanceTo(30_400);
    documents.updateFromPeer(
        PEER, peer(DocumentKind.TARGETS, "e1,e2", -1, 500, 20_000, 20_000), 30_390);
    advanceTo(31_000);
    fromStore(DocumentKind.TARGETS, "e1,e3", 2, 305, 30_390);
    assertEquals("e1,e3", cache.find(DocumentKind.TARGETS).get().content());
    advanceTo(31_600);
    fromStore(DocumentKind.TARGETS, "e1,e3,e4", 2, 306, 31_590);
    assertEquals(1, documents.history().returns());
  }

  /** Guards against changes out of force since the store's versions fell without a new era. */
  @Test
  void changeIsUsedAfterTheVersionFellWithinItsEra() {
    advanceTo(1_020);
    fromStore(DocumentKind.CONFIGURATION, "a", 1, 500, 1_000);
    advanceTo(1_620);
    fromStore(DocumentKind.CONFIGURATION, "b", 1, 300, 1_600);
    assertEquals("b", cache.find(DocumentKind.CONFIGURATION).get().content());
    assertEquals(1, documents.history().returns());
  }

  /** Guards against a reader that is left, since one document shows the return before another. */
  @Test
  void readerThatHasNotReadTheReturnedStoreConfirmsWhatItHasRead() {
    advanceTo(10_000);
    fromStore(DocumentKind.CONFIGURATION, "a", 1, 500, 9_990);
    fromStore(DocumentKind.TARGETS, "e1,e2", 1, 500, 9_990);
    advanceTo(11_000);
    fromStore(DocumentKind.CONFIGURATION, "a", 2, 300, 10_990);
    documents.updateFromPeer(PEER, peer(DocumentKind.TARGETS, "e1,e2", 1, 500, 200, 10), 10_990);
    assertTrue(cache.isConfirmedSince(DocumentKind.TARGETS, 10_790));
    assertEquals(1, documents.history().returns());
  }

  /** Guards against a failing part that keeps all others, and the reading, from being used. */
  @Test
  void partThatFailsAtTheReturnStopsNoOther() {
    AtomicInteger told = new AtomicInteger();
    documents
        .history()
        .onReturn(
            () -> {
              throw new IllegalStateException("failing part");
            });
    documents.history().onReturn(told::incrementAndGet);
    advanceTo(1_020);
    fromStore(DocumentKind.CONFIGURATION, "a", 1, 500, 1_000);
    advanceTo(1_620);
    fromStore(DocumentKind.CONFIGURATION, "b", 2, 300, 1_600);
    assertEquals(1, told.get());
    assertEquals("b", cache.find(DocumentKind.CONFIGURATION).get().content());
  }

  /** Guards against a live target that is given up for the one that had its address before. */
  @Test
  void formerTargetOfTheCopyDoesNotReplaceTheOneAtItsAddress() {
    listAt(0, "e1", "f2");
    updater.recordStoreReturn();
    listAt(600, "e1", "e2");
    assertEquals(Set.of("e1", "f2"), usable());
    listAt(1_200, "e1", "f2");
    assertEquals(Set.of("e1", "f2"), usable());
  }
}
