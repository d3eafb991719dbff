package org.gatereel.core.forward;

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
import org.gatereel.core.forward.DocumentSources.PeerDocument;
import org.gatereel.core.forward.DocumentSources.StoreResponse;
import org.gatereel.core.forward.HostDirectory.Entry;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.junit.jupiter.api.Test;

/** Which way a host learns of the store's documents, and how old their proof is then. */
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
  private final List<SharedDocument> taken = new ArrayList<>();
  private final DocumentRefresher refresher =
      new DocumentRefresher(
          context,
          directory,
          cache,
          sources,
          BOUND_MILLIS,
          (document, outcome) -> taken.add(document));
  private Optional<String> settled = Optional.of("not settled");

  /** Keeps questions until the test answers them. */
  private static final class Sources implements DocumentSources {
    private final Map<DocumentKind, Consumer<StoreResponse>> store =
        new EnumMap<>(DocumentKind.class);
    private final List<Address> peers = new ArrayList<>();
    private Consumer<Optional<List<PeerDocument>>> peer;

    @Override
    public void readStore(DocumentKind kind, Consumer<StoreResponse> answer) {
      store.put(kind, answer);
    }

    @Override
    public void queryPeer(
        Address address, DocumentCache known, Consumer<Optional<List<PeerDocument>>> answer) {
      peers.add(address);
      peer = answer;
    }

    void answerStore(StoreResponse answer) {
      Map<DocumentKind, Consumer<StoreResponse>> asked = new EnumMap<>(store);
      store.clear();
      asked.values().forEach(listener -> listener.accept(answer));
    }
  }

  private void refresh(long now) {
    context.advanceTo(now);
    settled = Optional.of("not settled");
    refresher.refresh(now, problem -> settled = problem);
  }

  /** Makes the other host the reader of a data centre: the first of many names that ranks so. */
  private void knowReader(DataCentre dataCentre) {
    for (int number = 0; directory.reader(context.now()).isEmpty() && number < 50; number++) {
      directory.update(
          List.of(
              new Entry("self", NORTH, SELF, 0), new Entry("peer" + number, dataCentre, PEER, 0)),
          0);
    }
  }

  private static PeerDocument reading(DocumentKind kind, long version, long ageMillis) {
    return new PeerDocument(kind, Optional.of("text"), "digest" + version, version, ageMillis);
  }

  @Test
  void aHostWithoutAReaderReadsTheStoreItself() {
    refresh(100);
    context.advanceTo(150);
    sources.answerStore(new StoreResponse.Read("text", "digest", 7));
    assertEquals(Optional.empty(), settled);
    assertEquals(3, taken.size());
    assertTrue(taken.stream().allMatch(document -> document.confirmedAt() == 100));
    assertEquals(600, refresher.intervalMillis());
  }

  @Test
  void aHostAsksItsReaderAndTakesOverTheAgeOfTheProof() {
    knowReader(NORTH);
    refresh(1_000);
    assertEquals(List.of(PEER), sources.peers);
    assertTrue(sources.store.isEmpty());
    context.advanceTo(1_050);
    sources.peer.accept(
        Optional.of(
            List.of(
                reading(DocumentKind.CONFIGURATION, 7, 300),
                reading(DocumentKind.TARGETS, 7, 300))));
    assertEquals(Optional.empty(), settled);
    assertEquals(700, taken.get(0).confirmedAt());
    assertEquals(400, refresher.intervalMillis());
  }

  @Test
  void aHostWhoseReaderDoesNotAnswerAsksTheStoreInTheSameRoundAndThenPassesTheReaderOver() {
    knowReader(NORTH);
    refresh(1_000);
    sources.peer.accept(Optional.empty());
    sources.answerStore(new StoreResponse.Read("text", "digest", 7));
    assertEquals(Optional.empty(), settled);
    refresh(1_600);
    assertEquals(1, sources.peers.size());
    assertFalse(sources.store.isEmpty());
  }

  /** Has this host read for all, beside one in another data centre that ranks after it. */
  private void knowFarHostThatDoesNotRead() {
    int number = 0;
    do {
      number++;
      Entry far = new Entry("far" + number, SOUTH, PEER, 0);
      directory.update(List.of(new Entry("self", NORTH, SELF, 0), far), 0);
    } while (directory.reader(0).isPresent());
  }

  @Test
  void aHostThatTheStoreTurnsAwayLearnsFromAnyOtherHost() {
    knowFarHostThatDoesNotRead();
    refresh(1_000);
    sources.answerStore(new StoreResponse.Failed("status 503"));
    assertEquals(List.of(PEER), sources.peers);
    context.advanceTo(1_200);
    sources.peer.accept(Optional.of(List.of(reading(DocumentKind.CONFIGURATION, 7, 100))));
    assertTrue(settled.orElseThrow().contains("status 503"));
    assertEquals(900, cache.find(DocumentKind.CONFIGURATION).orElseThrow().confirmedAt());
  }

  @Test
  void equalContentsAreOnlyConfirmedAndOlderOnesIgnored() {
    refresh(100);
    sources.answerStore(new StoreResponse.Read("text", "digest9", 9));
    knowReader(NORTH);
    refresh(1_000);
    PeerDocument same = new PeerDocument(DocumentKind.TARGETS, Optional.empty(), "digest9", 9, 20);
    sources.peer.accept(Optional.of(List.of(same, reading(DocumentKind.CONFIGURATION, 8, 10))));
    assertEquals(980, cache.find(DocumentKind.TARGETS).orElseThrow().confirmedAt());
    assertEquals(100, cache.find(DocumentKind.CONFIGURATION).orElseThrow().confirmedAt());
    assertEquals("digest9", cache.find(DocumentKind.CONFIGURATION).orElseThrow().digest());
  }

  /** A reader that the store turns away answers on; a change must not wait for its proof to age. */
  @Test
  void aReaderWhoseProofIsOldIsPassedOverSoThatAChangeIsKnownWithinTheBound() {
    knowReader(NORTH);
    long provenAt = 1_000;
    long asked = provenAt;
    for (long now = provenAt;
        sources.store.isEmpty() && now < 10 * BOUND_MILLIS;
        now += refresher.intervalMillis()) {
      refresh(now);
      asked = now;
      long age = now - provenAt;
      sources.peer.accept(
          Optional.of(
              List.of(
                  reading(DocumentKind.CONFIGURATION, 7, age),
                  reading(DocumentKind.TARGETS, 7, age))));
    }
    assertTrue(asked - provenAt <= 0.75 * BOUND_MILLIS, "the store was asked after " + asked);
    sources.answerStore(new StoreResponse.Read("text", "digest8", 8));
    assertEquals(asked, cache.find(DocumentKind.CONFIGURATION).orElseThrow().confirmedAt());
  }

  private void readerIsBehind(long now) {
    refresh(now);
    sources.peer.accept(
        Optional.of(
            List.of(
                reading(DocumentKind.CONFIGURATION, 7, BOUND_MILLIS),
                reading(DocumentKind.TARGETS, 7, BOUND_MILLIS))));
  }

  /** A reader whose word is old because the store answers nobody is as good as any other. */
  @Test
  void whileTheStoreAnswersNobodyTheReaderIsKeptAndTheStoreLeftAlone() {
    knowReader(NORTH);
    int askedTheStore = 0;
    for (long now = 1_000; now < 9_000; now += 500) {
      readerIsBehind(now);
      askedTheStore += sources.store.isEmpty() ? 0 : 1;
      sources.answerStore(new StoreResponse.Failed("status 503"));
      sources.peer.accept(Optional.empty());
      assertTrue(settled.isPresent());
      assertEquals(Optional.of(PEER), directory.reader(now));
    }
    // At 1, 2, 4, 6 and 8 s of 16 rounds.
    assertEquals(5, askedTheStore);
  }

  @Test
  void aReaderThatIsBehindThoughTheStoreAnswersIsPassedOver() {
    knowReader(NORTH);
    readerIsBehind(1_000);
    sources.answerStore(new StoreResponse.Read("text", "digest", 8));
    assertEquals(Optional.empty(), settled);
    assertEquals(Optional.empty(), directory.reader(1_000));
  }

  @Test
  void afterAnAnswerOfTheStoreItIsAskedAtOnceAgain() {
    knowReader(NORTH);
    readerIsBehind(1_000);
    sources.answerStore(new StoreResponse.Failed("status 503"));
    sources.peer.accept(Optional.empty());
    readerIsBehind(2_000);
    sources.answerStore(new StoreResponse.Read("text", "digest", 8));
    directory.avoid(PEER, 2_000);

    readerIsBehind(4_500);

    assertFalse(sources.store.isEmpty());
  }

  @Test
  void aReaderThatLacksAnUrgentDocumentIsPassedOver() {
    knowReader(NORTH);
    refresh(1_000);
    sources.peer.accept(Optional.of(List.of(reading(DocumentKind.HOSTS, 7, 10))));
    assertFalse(sources.store.isEmpty());
  }

  @Test
  void theHostsAreReadRarely() {
    for (long now = 0; now <= 20_000; now += 500) {
      refresh(now);
      boolean asked = sources.store.containsKey(DocumentKind.HOSTS);
      sources.answerStore(new StoreResponse.Read("text", "digest", now));
      assertEquals(now % 1_500 == 0 && now <= 4_500 || now == 12_500, asked, "at " + now);
    }
  }
}
