package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gatereel.core.action.Action;
import org.gatereel.core.document.DocumentSources.PeerDocument;
import org.gatereel.core.document.DocumentSources.StoreResponse;
import org.gatereel.core.document.HostDirectory.Entry;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.junit.jupiter.api.Test;

/** Where a host reads the store's documents, and the confirmation time that it records. */
class DocumentRefresherTest {
  private static final DataCentre NORTH = new DataCentre("north");
  private static final DataCentre SOUTH = new DataCentre("south");
  private static final Address SELF = new Address("10.0.0.1", 7_215);
  private static final Address PEER = new Address("10.0.0.2", 7_215);
  private static final long BOUND_MILLIS = 2_000;

  private final CoreContext context =
      new CoreContext(new HostId("self"), NORTH, new SplittableRandom(1));
  private final DocumentCache cache = new DocumentCache();
  private final HostDirectory directory = new HostDirectory(context, SELF);
  private final Sources sources = new Sources();
  private final List<SharedDocument> updates = new ArrayList<>();
  private final Map<DocumentKind, DocumentCache.UpdateResult> outcomes =
      new EnumMap<>(DocumentKind.class);
  private final DocumentRefresher refresher =
      new DocumentRefresher(context, directory, cache, sources, BOUND_MILLIS, this::onUpdate);
  private Optional<DocumentKind> unusableKind = Optional.empty();
  private Optional<String> problem = Optional.of("not completed");

  /** Holds reads and queries until the test completes them. */
  private static final class Sources implements DocumentSources {
    private final Map<DocumentKind, Consumer<StoreResponse>> storeReaders =
        new EnumMap<>(DocumentKind.class);
    private final List<Address> queriedPeers = new ArrayList<>();
    private Consumer<Optional<List<PeerDocument>>> peerListener;

    @Override
    public void readStore(DocumentKind kind, Consumer<StoreResponse> response) {
      storeReaders.put(kind, response);
    }

    @Override
    public void queryPeer(
        Address address, DocumentCache known, Consumer<Optional<List<PeerDocument>>> response) {
      queriedPeers.add(address);
      peerListener = response;
    }

    void completeStoreReads(StoreResponse response) {
      Map<DocumentKind, Consumer<StoreResponse>> pending = new EnumMap<>(storeReaders);
      storeReaders.clear();
      pending.values().forEach(listener -> listener.accept(response));
    }
  }

  private void onUpdate(SharedDocument document, DocumentCache.UpdateResult outcome) {
    if (unusableKind.equals(Optional.of(document.kind()))) {
      throw new IllegalStateException("unusable document");
    }
    updates.add(document);
    outcomes.put(document.kind(), outcome);
  }

  private void refresh(long now) {
    context.advanceTo(now);
    problem = Optional.of("not completed");
    refresher.refresh(now, result -> problem = result);
  }

  /** Lists another host under the first id that makes it the reader. */
  private void listReader(DataCentre dataCentre) {
    for (int number = 0; directory.reader(context.now()).isEmpty() && number < 50; number++) {
      directory.update(
          List.of(
              new Entry("self", NORTH, SELF, 0), new Entry("peer" + number, dataCentre, PEER, 0)),
          0);
    }
  }

  private static PeerDocument document(DocumentKind kind, long version, long ageMillis) {
    return new PeerDocument(
        kind,
        Optional.of("text"),
        "digest" + version,
        StoreVersion.withoutEra(version),
        ageMillis,
        0);
  }

  @Test
  void hostWithoutReaderReadsStoreItself() {
    refresh(100);
    context.advanceTo(150);
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(7)));
    assertEquals(Optional.empty(), problem);
    assertEquals(3, updates.size());
    assertTrue(updates.stream().allMatch(document -> document.confirmedAt() == 100));
    assertEquals(600, refresher.intervalMillis());
  }

  @Test
  void hostQueriesReaderAndAdoptsAgeOfConfirmation() {
    listReader(NORTH);
    refresh(1_000);
    assertEquals(List.of(PEER), sources.queriedPeers);
    assertTrue(sources.storeReaders.isEmpty());
    context.advanceTo(1_050);
    sources.peerListener.accept(
        Optional.of(
            List.of(
                document(DocumentKind.CONFIGURATION, 7, 300),
                document(DocumentKind.TARGETS, 7, 300))));
    assertEquals(Optional.empty(), problem);
    assertEquals(700, updates.get(0).confirmedAt());
    assertEquals(400, refresher.intervalMillis());
  }

  @Test
  void hostReadsStoreInSameRoundAndAvoidsUnresponsiveReader() {
    listReader(NORTH);
    refresh(1_000);
    sources.peerListener.accept(Optional.empty());
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(7)));
    assertEquals(Optional.empty(), problem);
    refresh(1_600);
    assertEquals(1, sources.queriedPeers.size());
    assertFalse(sources.storeReaders.isEmpty());
  }

  /** Makes this host the global reader, with a lower-ranked host in another data centre. */
  private void listRemoteHostThatDoesNotRead() {
    int number = 0;
    do {
      number++;
      Entry far = new Entry("far" + number, SOUTH, PEER, 0);
      directory.update(List.of(new Entry("self", NORTH, SELF, 0), far), 0);
    } while (directory.reader(0).isPresent());
  }

  @Test
  void hostQueriesAnotherHostWhenStoreRejectsIt() {
    listRemoteHostThatDoesNotRead();
    refresh(1_000);
    sources.completeStoreReads(new StoreResponse.Failed("status 503"));
    assertEquals(List.of(PEER), sources.queriedPeers);
    context.advanceTo(1_200);
    sources.peerListener.accept(Optional.of(List.of(document(DocumentKind.CONFIGURATION, 7, 100))));
    assertTrue(problem.orElseThrow().contains("status 503"));
    assertEquals(900, cache.find(DocumentKind.CONFIGURATION).orElseThrow().confirmedAt());
  }

  @Test
  void equalDocumentIsConfirmedAndOlderDocumentIsIgnored() {
    refresh(100);
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest9", StoreVersion.withoutEra(9)));
    listReader(NORTH);
    refresh(1_000);
    PeerDocument same =
        new PeerDocument(
            DocumentKind.TARGETS, Optional.empty(), "digest9", StoreVersion.withoutEra(9), 20, 0);
    sources.peerListener.accept(
        Optional.of(List.of(same, document(DocumentKind.CONFIGURATION, 8, 950))));
    assertEquals(980, cache.find(DocumentKind.TARGETS).orElseThrow().confirmedAt());
    assertEquals(100, cache.find(DocumentKind.CONFIGURATION).orElseThrow().confirmedAt());
    assertEquals("digest9", cache.find(DocumentKind.CONFIGURATION).orElseThrow().digest());
  }

  /** Guards against late changes when the store rejects the reader, whose copy then grows old. */
  @Test
  void readerWithOldConfirmationIsAvoidedSoThatChangesArriveWithinBound() {
    listReader(NORTH);
    long confirmedAt = 1_000;
    long readAt = confirmedAt;
    for (long now = confirmedAt;
        sources.storeReaders.isEmpty() && now < 10 * BOUND_MILLIS;
        now += refresher.intervalMillis()) {
      refresh(now);
      readAt = now;
      long age = now - confirmedAt;
      sources.peerListener.accept(
          Optional.of(
              List.of(
                  document(DocumentKind.CONFIGURATION, 7, age),
                  document(DocumentKind.TARGETS, 7, age))));
    }
    assertTrue(readAt - confirmedAt <= 0.75 * BOUND_MILLIS, "store was read after " + readAt);
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest8", StoreVersion.withoutEra(8)));
    assertEquals(readAt, cache.find(DocumentKind.CONFIGURATION).orElseThrow().confirmedAt());
  }

  private void readOutdatedReader(long now) {
    refresh(now);
    sources.peerListener.accept(
        Optional.of(
            List.of(
                document(DocumentKind.CONFIGURATION, 7, BOUND_MILLIS),
                document(DocumentKind.TARGETS, 7, BOUND_MILLIS))));
  }

  /** When the store is unavailable, an outdated reader is as good as any other host. */
  @Test
  void readerIsKeptAndStoreBacksOffWhileStoreIsUnavailable() {
    listReader(NORTH);
    int storeReads = 0;
    for (long now = 1_000; now < 9_000; now += 500) {
      readOutdatedReader(now);
      storeReads += sources.storeReaders.isEmpty() ? 0 : 1;
      sources.completeStoreReads(new StoreResponse.Failed("status 503"));
      sources.peerListener.accept(Optional.empty());
      assertTrue(problem.isPresent());
      assertEquals(Optional.of(PEER), directory.reader(now));
    }
    // Read at 1, 2, 4, 6 and 8 s.
    assertEquals(5, storeReads);
  }

  @Test
  void outdatedReaderIsAvoidedWhenStoreResponds() {
    listReader(NORTH);
    readOutdatedReader(1_000);
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(8)));
    assertEquals(Optional.empty(), problem);
    assertEquals(Optional.empty(), directory.reader(1_000));
  }

  @Test
  void storeIsReadAgainWithoutDelayAfterStoreResponse() {
    listReader(NORTH);
    readOutdatedReader(1_000);
    sources.completeStoreReads(new StoreResponse.Failed("status 503"));
    sources.peerListener.accept(Optional.empty());
    readOutdatedReader(2_000);
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(8)));
    directory.avoid(PEER, 2_000);

    readOutdatedReader(4_500);

    assertFalse(sources.storeReaders.isEmpty());
  }

  @Test
  void readerWithoutUrgentDocumentIsAvoided() {
    listReader(NORTH);
    refresh(1_000);
    sources.peerListener.accept(Optional.of(List.of(document(DocumentKind.HOSTS, 7, 10))));
    assertFalse(sources.storeReaders.isEmpty());
  }

  @Test
  void hostsDocumentIsReadAtLongerIntervals() {
    for (long now = 0; now <= 20_000; now += 500) {
      refresh(now);
      boolean hostsRead = sources.storeReaders.containsKey(DocumentKind.HOSTS);
      sources.completeStoreReads(
          new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(now)));
      assertEquals(now % 1_500 == 0 && now <= 4_500 || now == 12_500, hostsRead, "at " + now);
    }
  }

  /** Guards against entries of hosts that the store has lost and that are missing for long. */
  @Test
  void hostsDocumentIsReadInTheFirstRefreshAfterAReturn() {
    for (long now = 0; now <= 6_000; now += 600) {
      refreshFromStore(now, StoreVersion.UNKNOWN_ERA, 400 + now);
    }
    refreshFromStore(6_600, StoreVersion.UNKNOWN_ERA, 5);

    List<Long> readAt = new ArrayList<>();
    for (long now = 7_200; now <= 16_200; now += 600) {
      refresh(now);
      if (sources.storeReaders.containsKey(DocumentKind.HOSTS)) {
        readAt.add(now);
      }
      sources.completeStoreReads(
          new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(now)));
    }
    assertEquals(List.of(7_200L, 9_000L, 10_800L, 12_600L), readAt);
  }

  @Test
  void slowReadOfHostsDoesNotDelayTheNextRefresh() {
    StoreResponse response = new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(7));
    refresh(100);
    sources.storeReaders.get(DocumentKind.CONFIGURATION).accept(response);
    sources.storeReaders.get(DocumentKind.TARGETS).accept(response);
    assertEquals(Optional.empty(), problem);

    sources.storeReaders.get(DocumentKind.HOSTS).accept(response);

    assertEquals(3, updates.size());
  }

  @Test
  void documentThatCannotBeAppliedDoesNotKeepTheRefreshOpen() {
    unusableKind = Optional.of(DocumentKind.CONFIGURATION);
    refresh(100);

    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(7)));

    assertEquals(Optional.empty(), problem);
    assertEquals(2, updates.size());
  }

  /** Guards against all hosts reading the store because nobody can read one document. */
  @Test
  void readerIsKeptWhileTheStoreLacksTheDocumentThatIsOutdated() {
    listReader(NORTH);
    refresh(5_000);
    sources.peerListener.accept(
        Optional.of(
            List.of(
                document(DocumentKind.CONFIGURATION, 7, 0),
                document(DocumentKind.TARGETS, 7, BOUND_MILLIS))));
    sources
        .storeReaders
        .get(DocumentKind.CONFIGURATION)
        .accept(new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(8)));
    sources.storeReaders.get(DocumentKind.TARGETS).accept(new StoreResponse.Failed("status 503"));

    assertEquals(Optional.of(PEER), directory.reader(5_000));
  }

  /** Guards against a refresh that stays open because a document of another host has no kind. */
  @Test
  void unusableDocumentOfAnotherHostDoesNotKeepTheRefreshOpen() {
    listReader(NORTH);
    refresh(5_000);
    sources.peerListener.accept(
        Optional.of(
            List.of(
                document(null, 7, 0),
                document(DocumentKind.CONFIGURATION, 7, 0),
                document(DocumentKind.TARGETS, 7, 0))));

    assertEquals(Optional.empty(), problem);
    assertEquals(2, updates.size());
  }

  /** Guards against a document that counts as confirmed although its use failed. */
  @Test
  void documentWhoseUseFailedIsUsedAtTheNextReading() {
    unusableKind = Optional.of(DocumentKind.CONFIGURATION);
    refresh(100);
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(7)));
    unusableKind = Optional.empty();
    outcomes.clear();

    refresh(700);
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest", StoreVersion.withoutEra(7)));

    assertEquals(DocumentCache.UpdateResult.CHANGED, outcomes.get(DocumentKind.CONFIGURATION));
    assertEquals(DocumentCache.UpdateResult.CONFIRMED, outcomes.get(DocumentKind.TARGETS));
  }

  /** Guards against readings that are dropped without a trace in the log. */
  @Test
  void firstOutdatedReadingOfASeriesIsLogged() {
    refresh(100);
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest9", StoreVersion.withoutEra(9)));
    listReader(NORTH);
    context.takeActions();
    for (long now = 1_000; now <= 1_400; now += 400) {
      refresh(now);
      sources.peerListener.accept(Optional.of(List.of(document(DocumentKind.TARGETS, 8, 1_000))));
    }
    List<String> details =
        context.takeActions().stream()
            .filter(Action.LogEvent.class::isInstance)
            .map(Action.LogEvent.class::cast)
            .filter(event -> event.code() == EventCode.DOCUMENT_OUTDATED)
            .map(Action.LogEvent::detail)
            .toList();
    assertEquals(
        List.of("storeVersion=-/8 source=" + PEER + " ageMillis=1000 known=-/9 knownAgeMillis=900"),
        details);
  }

  private void refreshFromStore(long now, long era, long version) {
    refresh(now);
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest" + version, new StoreVersion(era, version)));
  }

  private String digest(DocumentKind kind) {
    return cache.find(kind).orElseThrow().digest();
  }

  /**
   * Guards against changes that stay out of force until the versions have passed their old mark.
   */
  @Test
  void changeIsUsedAfterTheStoreReturnedWithLowerVersions() {
    List<Long> returns = new ArrayList<>();
    refresher.history().onReturn(() -> returns.add(context.now()));
    refreshFromStore(100, StoreVersion.UNKNOWN_ERA, 400);
    refreshFromStore(700, StoreVersion.UNKNOWN_ERA, 5);
    assertEquals("digest5", digest(DocumentKind.CONFIGURATION));
    assertEquals("digest5", digest(DocumentKind.TARGETS));
    assertEquals(List.of(700L), returns);
    refreshFromStore(1_300, StoreVersion.UNKNOWN_ERA, 6);
    assertEquals("digest6", digest(DocumentKind.TARGETS));
    assertEquals(1, refresher.history().returns());
  }

  /** Guards against a host of an earlier era that undoes what this host has read since. */
  @Test
  void documentsOfAHostInAnEarlierEraAreIgnored() {
    refreshFromStore(100, 1, 400);
    refreshFromStore(700, 2, 5);
    listReader(NORTH);
    refresh(1_300);
    PeerDocument earlier =
        new PeerDocument(
            DocumentKind.TARGETS, Optional.of("text"), "digest401", new StoreVersion(1, 401), 0, 0);
    sources.peerListener.accept(Optional.of(List.of(earlier)));
    assertEquals("digest5", digest(DocumentKind.TARGETS));
    assertEquals(1, refresher.history().returns());
  }

  /** Guards against hosts that each read the store since their reader is taken for outdated. */
  @Test
  void readerThatHasReadTheStoreAfterItsReturnIsNotLeft() {
    refreshFromStore(100, StoreVersion.UNKNOWN_ERA, 400);
    listReader(NORTH);
    refresh(1_000);
    sources.storeReaders.clear();
    sources.peerListener.accept(
        Optional.of(
            List.of(
                document(DocumentKind.CONFIGURATION, 5, 300),
                document(DocumentKind.TARGETS, 5, 300))));
    assertEquals("digest5", digest(DocumentKind.TARGETS));
    assertTrue(sources.storeReaders.isEmpty());
    assertEquals(Optional.empty(), problem);
  }

  /** Guards against hosts that leave reader after reader when the store has returned. */
  @Test
  void readerThatHasNotReadTheReturnedStoreYetIsNotLeft() {
    refreshFromStore(100, StoreVersion.UNKNOWN_ERA, 400);
    listReader(NORTH);
    refresh(1_100);
    sources.peerListener.accept(
        Optional.of(
            List.of(
                document(DocumentKind.CONFIGURATION, 400, 1_000),
                document(DocumentKind.TARGETS, 400, 1_000))));
    sources.completeStoreReads(
        new StoreResponse.Read("text", "digest5", StoreVersion.withoutEra(5)));
    assertEquals(Optional.of(PEER), directory.reader(context.now()));
  }
}
