package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.gatereel.core.document.HostDirectory.Entry;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

/** Guards against a host without memory that serves by what an older copy of the store shows. */
class StartupQueryTest {
  private static final DataCentre NORTH = new DataCentre("north");
  private static final long BOUND_MILLIS = 2_000;

  private final CoreContext context =
      new CoreContext(new HostId("h0"), NORTH, new SplittableRandom(1));
  private final HostDirectory directory = new HostDirectory(context, address(0));
  private final Sources sources = new Sources();
  private final DocumentRefresher refresher =
      new DocumentRefresher(
          context, directory, new DocumentCache(), sources, BOUND_MILLIS, this::onDocument);
  private final Set<TargetId> excluded = new HashSet<>();
  private final StartupQuery query =
      new StartupQuery(context, directory, sources, refresher, excluded::addAll);
  private final AtomicInteger completions = new AtomicInteger();

  /** Holds reads and queries until the test completes them. */
  private static final class Sources implements DocumentSources {
    private final List<Address> queried = new ArrayList<>();
    private Consumer<StoreResponse> storeReader;
    private final List<Consumer<Optional<List<PeerDocument>>>> peerListeners = new ArrayList<>();

    @Override
    public void readStore(DocumentKind kind, Consumer<StoreResponse> callback) {
      storeReader = callback;
    }

    @Override
    public void queryPeer(
        Address peer, DocumentCache known, Consumer<Optional<List<PeerDocument>>> callback) {
      queried.add(peer);
      peerListeners.add(callback);
    }
  }

  private static Address address(int number) {
    return new Address("10.0.0." + (number + 1), 7_215);
  }

  private void onDocument(SharedDocument document, DocumentCache.UpdateResult result) {
    List<Entry> entries = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      entries.add(new Entry("h" + number, NORTH, address(number), 0));
    }
    directory.update(entries, 0);
  }

  private void startAndReadHosts() {
    query.start(completions::incrementAndGet);
    sources.storeReader.accept(
        new DocumentSources.StoreResponse.Read("text", "digest", StoreVersion.withoutEra(1)));
  }

  private void advanceTo(long time) {
    context.advanceTo(time);
    context.timers().runDue(time);
  }

  private static Optional<List<DocumentSources.PeerDocument>> configuration() {
    return Optional.of(
        List.of(
            new DocumentSources.PeerDocument(
                DocumentKind.CONFIGURATION,
                Optional.of("text"),
                "digest",
                StoreVersion.withoutEra(1),
                0,
                0)));
  }

  private void respond(int query, Optional<List<DocumentSources.PeerDocument>> documents) {
    sources.peerListeners.get(query).accept(documents);
  }

  @Test
  void differentHostsAreQueriedSideBySideBeforeTheFirstRefresh() {
    startAndReadHosts();
    assertEquals(3, sources.queried.stream().distinct().count());
    assertTrue(sources.queried.stream().noneMatch(address(0)::equals));
    respond(0, configuration());
    assertEquals(0, completions.get());
    respond(1, configuration());
    assertEquals(1, completions.get());
    respond(2, Optional.empty());
    advanceTo(2 * StartupQuery.TIMEOUT_MILLIS);
    assertEquals(1, completions.get());
  }

  /** Guards against a host that takes the answers of hosts that have just started for enough. */
  @Test
  void hostsWithoutAConfigurationDoNotEndTheQuery() {
    startAndReadHosts();
    respond(0, Optional.of(List.of()));
    respond(1, Optional.of(List.of()));
    assertEquals(0, completions.get());
    respond(2, configuration());
    assertEquals(1, completions.get());
  }

  /** Guards against a host without memory that uses targets which left before the copy's return. */
  @Test
  void targetsThatOtherHostsExcludeArePassedOn() {
    startAndReadHosts();
    respond(
        0,
        Optional.of(
            List.of(
                new DocumentSources.PeerDocument(
                    DocumentKind.TARGETS,
                    Optional.of("text"),
                    "digest",
                    StoreVersion.withoutEra(1),
                    0,
                    0,
                    Set.of(new TargetId("e1"))))));
    assertEquals(Set.of(new TargetId("e1")), excluded);
  }

  @Test
  void silentStoreDelaysTheFirstRefreshByTheTimeoutAlone() {
    query.start(completions::incrementAndGet);
    advanceTo(StartupQuery.HOSTS_TIMEOUT_MILLIS - 1);
    assertEquals(0, completions.get());
    advanceTo(StartupQuery.HOSTS_TIMEOUT_MILLIS);
    assertEquals(1, completions.get());
    sources.storeReader.accept(new DocumentSources.StoreResponse.Failed("no response"));
    assertEquals(1, completions.get());
    assertEquals(List.of(), sources.queried);
  }

  /** Guards against a host that starts while the store is away and then takes its copy at once. */
  @Test
  void hostsAreQueriedWhenTheStoreIsBackBeforeTheFirstRefresh() {
    query.start(completions::incrementAndGet);
    for (long time = 100; time <= 500; time += 100) {
      sources.storeReader.accept(new DocumentSources.StoreResponse.Failed("status 503"));
      advanceTo(time);
    }
    assertEquals(0, completions.get());
    sources.storeReader.accept(
        new DocumentSources.StoreResponse.Read("text", "digest", StoreVersion.withoutEra(1)));
    assertEquals(0, completions.get());
    assertEquals(3, sources.queried.size());
    advanceTo(500 + StartupQuery.TIMEOUT_MILLIS);
    assertEquals(1, completions.get());
  }

  @Test
  void silentHostsDelayTheFirstRefreshByTheTimeoutAlone() {
    startAndReadHosts();
    advanceTo(StartupQuery.TIMEOUT_MILLIS);
    assertEquals(1, completions.get());
  }

  @Test
  void hostThatDoesNotRespondIsNotUsedAsReader() {
    startAndReadHosts();
    Optional<Address> reader = directory.reader(0);
    assertEquals(reader, Optional.of(sources.queried.get(0)));
    respond(0, Optional.empty());
    assertTrue(directory.reader(0).filter(reader.get()::equals).isEmpty());
  }

  /** Guards against hosts that start together and each read the store, since no reader is ready. */
  @Test
  void firstRefreshReadsTheStoreAndKeepsTheReader() {
    startAndReadHosts();
    respond(0, configuration());
    respond(1, configuration());
    Optional<Address> reader = directory.reader(0);
    int queried = sources.queried.size();
    sources.storeReader = null;
    refresher.refresh(0, problem -> {});
    assertTrue(sources.storeReader != null);
    assertEquals(queried, sources.queried.size());
    assertEquals(reader, directory.reader(0));
    refresher.refresh(600, problem -> {});
    assertEquals(queried + 1, sources.queried.size());
  }
}
