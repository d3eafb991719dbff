package org.gatereel.core.document;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gatereel.core.document.HostDirectory.Entry;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;

/** Hosts that keep documents fresh from a store whose tables are disturbed one by one. */
final class DocumentWorld {
  static final long BOUND_MILLIS = 2_000;
  private static final DataCentre NORTH = new DataCentre("north");
  private static final long RESPONSE_MILLIS = 4;
  private static final long SLOW_TABLE_MILLIS = 1_100;
  private static final long READ_TIMEOUT_MILLIS = 1_200;
  private static final long PEER_TIMEOUT_MILLIS = 250;
  private static final long MIN_RECORDED_DELAY_MILLIS = 500;

  /** What happens to the reads of one table. */
  enum Disturbance {
    NONE,
    SLOW,
    FAILING,
    SILENT,
    UNUSABLE,
    THROWING
  }

  private final TimerQueue network = new TimerQueue();
  private final List<Host> hosts = new ArrayList<>();
  private final Map<DocumentKind, Long> versions = new EnumMap<>(DocumentKind.class);
  private final Map<DocumentKind, Disturbance> disturbances = new EnumMap<>(DocumentKind.class);
  private long now = 10_000;
  private int storeReads;

  DocumentWorld(int hostCount, long seed) {
    for (DocumentKind kind : DocumentKind.values()) {
      versions.put(kind, 1L);
      disturbances.put(kind, Disturbance.NONE);
    }
    SplittableRandom random = new SplittableRandom(seed);
    for (int number = 0; number < hostCount; number++) {
      hosts.add(new Host(number, random.split()));
    }
    List<Entry> entries = hosts.stream().map(Host::entry).toList();
    hosts.forEach(host -> host.directory.update(entries, now));
    hosts.forEach(Host::start);
  }

  List<Host> hosts() {
    return hosts;
  }

  long now() {
    return now;
  }

  void change(DocumentKind kind) {
    versions.merge(kind, 1L, Long::sum);
  }

  long version(DocumentKind kind) {
    return versions.get(kind);
  }

  /** Returns the version of the store, which each change raises. */
  private long storeVersion() {
    return versions.values().stream().mapToLong(Long::longValue).sum();
  }

  private static long versionOf(SharedDocument document) {
    return Long.parseLong(document.digest().substring(document.kind().name().length() + 1));
  }

  /** Has the store lose the last changes of all documents. */
  void returnFromCopy(long lostChanges) {
    versions.replaceAll((kind, version) -> version - lostChanges);
  }

  void disturb(DocumentKind kind, Disturbance disturbance) {
    disturbances.put(kind, disturbance);
  }

  Disturbance disturbance(DocumentKind kind) {
    return disturbances.get(kind);
  }

  void advance(long millis) {
    for (long end = now + millis; now < end; ) {
      now++;
      network.runDue(now);
      hosts.forEach(Host::runTimers);
    }
  }

  /** Returns how many reads of tables the store has received. */
  int storeReads() {
    return storeReads;
  }

  private void later(long delayMillis, Runnable step) {
    network.add(now + delayMillis, step);
  }

  /** One host with one open read for each table, as the clients of the store have. */
  final class Host implements DocumentSources {
    private final Address address;
    private final CoreContext context;
    private final HostDirectory directory;
    private final DocumentCache cache = new DocumentCache();
    private final DocumentRefresher refresher;
    private final Poller poller;
    private final Map<DocumentKind, List<Consumer<StoreResponse>>> waiting =
        new EnumMap<>(DocumentKind.class);
    private final Map<DocumentKind, Boolean> reading = new EnumMap<>(DocumentKind.class);
    private final Map<DocumentKind, Long> used = new HashMap<>();
    private final DocumentFreshness freshness;
    private boolean silent;

    private Host(int number, SplittableRandom random) {
      address = new Address("10.0.0." + (number + 1), 7_215);
      context = new CoreContext(new HostId("host" + number), NORTH, random);
      context.advanceTo(now);
      directory = new HostDirectory(context, address);
      refresher =
          new DocumentRefresher(
              context,
              directory,
              cache,
              this,
              BOUND_MILLIS,
              (document, result) -> use(document.kind(), versionOf(document)));
      poller =
          new Poller(
              context,
              "store",
              refresher::intervalMillis,
              refresher.timeoutMillis(),
              refresher::refresh);
      freshness = new DocumentFreshness(context, BOUND_MILLIS);
      freshness.setRefresh(poller::queryNow, refresher.timeoutMillis());
      freshness.setOpenReads(refresher::isBeingRead);
      poller.setCompletionListener(freshness::onRefreshEnded);
      freshness.track(DocumentKind.CONFIGURATION, () -> age(DocumentKind.CONFIGURATION));
      freshness.track(DocumentKind.TARGETS, () -> age(DocumentKind.TARGETS));
    }

    private OptionalLong age(DocumentKind kind) {
      return cache
          .find(kind)
          .map(known -> OptionalLong.of(context.nowIncludingSuspensions() - known.confirmedAt()))
          .orElse(OptionalLong.empty());
    }

    DocumentFreshness freshness() {
      return freshness;
    }

    boolean isReader() {
      return directory.reader(now).isEmpty();
    }

    private Entry entry() {
      return new Entry(context.self().value(), NORTH, address, now);
    }

    private void start() {
      tryRun(poller::start);
    }

    private void use(DocumentKind kind, long version) {
      if (disturbances.get(kind) == Disturbance.UNUSABLE) {
        throw new IllegalStateException("unusable document");
      }
      used.put(kind, version);
      freshness.onConfirmed();
    }

    /** Returns the version in use; zero if there is none. */
    long used(DocumentKind kind) {
      return used.getOrDefault(kind, 0L);
    }

    String name() {
      return context.self().value();
    }

    /** A silent host does nothing, not even run its timers. */
    void setSilent(boolean isSilent) {
      silent = isSilent;
    }

    /** Ends a pause, whose length the host records as its control thread does. */
    void resume() {
      silent = false;
      context.advanceTo(now);
      long delayMillis = now - context.timers().nextDeadline().orElse(now);
      if (delayMillis >= MIN_RECORDED_DELAY_MILLIS) {
        context.recordDelay(delayMillis);
      }
    }

    private void runTimers() {
      if (!silent) {
        context.advanceTo(now);
        while (!tryRun(() -> context.timers().runDue(now))) {}
        context.takeActions();
      }
    }

    /** A step that throws ends by itself alone, as on the control thread. */
    private static boolean tryRun(Runnable step) {
      try {
        step.run();
        return true;
      } catch (IllegalStateException e) {
        return false;
      }
    }

    private void receive(Runnable step) {
      if (silent) {
        later(1, () -> receive(step));
      } else {
        context.advanceTo(now);
        tryRun(step);
      }
    }

    @Override
    public void readStore(DocumentKind kind, Consumer<StoreResponse> callback) {
      if (disturbances.get(kind) == Disturbance.THROWING) {
        throw new IllegalStateException("the read of " + kind + " throws");
      }
      waiting.computeIfAbsent(kind, any -> new ArrayList<>()).add(callback);
      if (!reading.getOrDefault(kind, false)) {
        startRead(kind);
      }
    }

    private void startRead(DocumentKind kind) {
      reading.put(kind, true);
      storeReads++;
      List<Consumer<StoreResponse>> callbacks = waiting.remove(kind);
      StoreResponse read =
          new StoreResponse.Read(
              "text", kind + " " + version(kind), StoreVersion.withoutEra(storeVersion()));
      switch (disturbances.get(kind)) {
        case SLOW -> later(SLOW_TABLE_MILLIS, () -> endRead(kind, callbacks, read));
        case FAILING -> later(RESPONSE_MILLIS, () -> failRead(kind, callbacks, "status 503"));
        case SILENT -> later(READ_TIMEOUT_MILLIS, () -> failRead(kind, callbacks, "no response"));
        default -> later(RESPONSE_MILLIS, () -> endRead(kind, callbacks, read));
      }
    }

    private void failRead(
        DocumentKind kind, List<Consumer<StoreResponse>> callbacks, String problem) {
      endRead(kind, callbacks, new StoreResponse.Failed(problem));
    }

    private void endRead(
        DocumentKind kind, List<Consumer<StoreResponse>> callbacks, StoreResponse response) {
      receive(
          () -> {
            reading.put(kind, false);
            if (waiting.containsKey(kind)) {
              startRead(kind);
            }
            callbacks.forEach(callback -> callback.accept(response));
          });
    }

    @Override
    public void queryPeer(
        Address peer, DocumentCache known, Consumer<Optional<List<PeerDocument>>> callback) {
      Host asked =
          hosts.stream().filter(host -> host.address.equals(peer)).findFirst().orElseThrow();
      if (asked.silent) {
        later(PEER_TIMEOUT_MILLIS, () -> receive(() -> callback.accept(Optional.empty())));
      } else {
        List<PeerDocument> documents = asked.documents();
        later(RESPONSE_MILLIS, () -> receive(() -> callback.accept(Optional.of(documents))));
      }
    }

    private List<PeerDocument> documents() {
      List<PeerDocument> documents = new ArrayList<>();
      for (DocumentKind kind : DocumentKind.values()) {
        cache
            .find(kind)
            .ifPresent(
                known ->
                    documents.add(
                        new PeerDocument(
                            kind,
                            Optional.of(known.content()),
                            known.digest(),
                            known.version(),
                            now - known.confirmedAt(),
                            known.reading().answeredAt() - known.confirmedAt())));
      }
      return documents;
    }
  }
}
