package org.gatereel.core.document;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;

/**
 * Keeps the store's documents fresh without every host reading the store.
 *
 * <p>In each data centre one host reads the store, and the others query it. If the reader does not
 * respond, or has outdated documents, a host reads the store itself. If the store does not respond
 * either, the host queries any other host and stops reading the store for a while, since some hosts
 * may reach the store when others do not. The choice of the reader only affects the load: in any
 * case a document's confirmation time is the time at which the store was queried.
 */
public final class DocumentRefresher {
  /** The intervals of a reader and of a host that queries it add up to half of the bound. */
  private static final double READER_INTERVAL_RATIO = 0.3;

  private static final double FOLLOWER_INTERVAL_RATIO = 0.2;
  private static final long HOSTS_INTERVAL_MILLIS = 8_000;

  /** Shorter at first, since hosts that start together are missing from the first readings. */
  private static final long INITIAL_HOSTS_INTERVAL_MILLIS = 1_500;

  private static final int INITIAL_HOSTS_READINGS = 4;
  private static final long READER_AVOIDANCE_MILLIS = 10_000;

  /**
   * The maximum age of a reader's documents before a host reads the store itself: one and a half
   * reader intervals. Together with one follower interval it leaves a third of the bound for
   * reading the store.
   */
  private static final double FRESHNESS_RATIO = 0.45;

  /**
   * Initial backoff from the store after a failed read, for hosts that have a reader; it doubles up
   * to the whole bound. Readers do not back off.
   */
  private static final double MIN_STORE_BACKOFF_RATIO = 0.5;

  private final CoreContext context;
  private final HostDirectory directory;
  private final DocumentCache cache;
  private final DocumentSources sources;
  private final BiConsumer<SharedDocument, DocumentCache.UpdateResult> updateListener;
  private final long freshMillis;
  private final long readerIntervalMillis;
  private final long followerIntervalMillis;
  private final long minStoreBackoffMillis;
  private final long maxStoreBackoffMillis;
  private long storeBackoffMillis;
  private long storeBackoffUntil = Long.MIN_VALUE;
  private long intervalMillis;
  private int hostsReadings;
  private long hostsReadAt = Long.MIN_VALUE / 2;
  private final Map<DocumentKind, BooleanSupplier> onDemand = new EnumMap<>(DocumentKind.class);

  /**
   * One refresh of all documents. It ends with the reads of the urgent ones, so that a slow read of
   * another document does not delay the next refresh.
   */
  private final class Round {
    private final long queriedAt;
    private final Poller.Completion completion;
    private final Set<DocumentKind> pendingReads = EnumSet.noneOf(DocumentKind.class);
    private Optional<Address> reader = Optional.empty();
    private boolean readerResponded;
    private final Set<DocumentKind> requestedOnDemand = EnumSet.noneOf(DocumentKind.class);
    private String problem = "";

    private Round(long queriedAt, Poller.Completion completion) {
      this.queriedAt = queriedAt;
      this.completion = completion;
    }

    private void start() {
      reader = directory.reader(context.now());
      if (reader.isEmpty()) {
        intervalMillis = readerIntervalMillis;
        readStore();
        return;
      }
      sources.queryPeer(reader.get(), cache, this::onReaderResponse);
    }

    private void onReaderResponse(Optional<List<DocumentSources.PeerDocument>> response) {
      intervalMillis = followerIntervalMillis;
      readerResponded = response.isPresent();
      updateAll(response, queriedAt);
      if (cache.isConfirmedSince(queriedAt - freshMillis)) {
        completion.complete(Optional.empty());
        return;
      }
      intervalMillis = readerIntervalMillis;
      if (!readerResponded) {
        avoidReader();
      }
      if (context.now() < storeBackoffUntil) {
        problem = "the store did not answer";
        queryOtherHost();
      } else {
        readStore();
      }
    }

    private void avoidReader() {
      Address avoided = reader.orElseThrow();
      directory.avoid(avoided, context.now() + READER_AVOIDANCE_MILLIS);
      context.logEvent(
          EventCode.READER_LOST,
          avoided.toString(),
          readerResponded ? "it is behind" : "no answer");
    }

    private void readStore() {
      pendingReads.add(DocumentKind.CONFIGURATION);
      pendingReads.add(DocumentKind.TARGETS);
      EnumSet.copyOf(pendingReads).forEach(this::readStore);
      readHostsIfDue();
      readOnDemand();
    }

    private void readHostsIfDue() {
      long hostsMillis =
          hostsReadings < INITIAL_HOSTS_READINGS
              ? INITIAL_HOSTS_INTERVAL_MILLIS
              : HOSTS_INTERVAL_MILLIS;
      if (context.now() - hostsReadAt >= hostsMillis) {
        hostsReadAt = context.now();
        hostsReadings++;
        readStore(DocumentKind.HOSTS);
      }
    }

    private void readStore(DocumentKind kind) {
      sources.readStore(kind, response -> onStoreResponse(kind, response));
    }

    /** Reads documents on demand in this round if an earlier read showed that they are needed. */
    private void readOnDemand() {
      onDemand.forEach(
          (kind, isNeeded) -> {
            if (isNeeded.getAsBoolean() && requestedOnDemand.add(kind)) {
              readStore(kind);
            }
          });
    }

    private void onStoreResponse(DocumentKind kind, DocumentSources.StoreResponse response) {
      boolean wasPending = pendingReads.remove(kind);
      if (response instanceof DocumentSources.StoreResponse.Read read) {
        DocumentRefresher.this.update(kind, read, queriedAt);
      } else if (response instanceof DocumentSources.StoreResponse.Failed failed && wasPending) {
        problem = kind + ": " + failed.problem();
      }
      readOnDemand();
      if (wasPending && pendingReads.isEmpty()) {
        onStoreReadsComplete();
      }
    }

    private void onStoreReadsComplete() {
      if (problem.isEmpty()) {
        onStoreSuccess();
        completion.complete(Optional.empty());
        return;
      }
      backOffStore();
      queryOtherHost();
    }

    private void onStoreSuccess() {
      storeBackoffMillis = minStoreBackoffMillis;
      if (readerResponded) {
        avoidReader();
      }
    }

    /**
     * Backs off from the store but keeps the reader, whose documents are outdated because the store
     * does not respond. Otherwise each host would avoid reader after reader until it reads the
     * store itself.
     */
    private void backOffStore() {
      if (reader.isPresent()) {
        storeBackoffUntil = context.now() + storeBackoffMillis;
        storeBackoffMillis = Math.min(maxStoreBackoffMillis, 2 * storeBackoffMillis);
      }
    }

    private void queryOtherHost() {
      Optional<Address> otherHost = directory.anyOtherHost(context.random());
      if (otherHost.isEmpty()) {
        completion.complete(Optional.of(problem));
        return;
      }
      long secondQueriedAt = context.nowIncludingSuspensions();
      sources.queryPeer(
          otherHost.get(),
          cache,
          response -> {
            updateAll(response, secondQueriedAt);
            completion.complete(Optional.of(problem));
          });
    }

    private void updateAll(Optional<List<DocumentSources.PeerDocument>> response, long sentAt) {
      response.orElse(List.of()).forEach(document -> updateFromPeer(document, sentAt));
    }
  }

  /**
   * Creates a refresher.
   *
   * @param boundMillis the time within which a change must be known
   * @param updateListener called for each update that is not outdated
   */
  public DocumentRefresher(
      CoreContext context,
      HostDirectory directory,
      DocumentCache cache,
      DocumentSources sources,
      long boundMillis,
      BiConsumer<SharedDocument, DocumentCache.UpdateResult> updateListener) {
    this.context = context;
    this.directory = directory;
    this.cache = cache;
    this.sources = sources;
    this.updateListener = updateListener;
    this.freshMillis = (long) (FRESHNESS_RATIO * boundMillis);
    this.readerIntervalMillis = (long) (READER_INTERVAL_RATIO * boundMillis);
    this.followerIntervalMillis = (long) (FOLLOWER_INTERVAL_RATIO * boundMillis);
    this.minStoreBackoffMillis = (long) (MIN_STORE_BACKOFF_RATIO * boundMillis);
    this.maxStoreBackoffMillis = boundMillis;
    this.storeBackoffMillis = minStoreBackoffMillis;
    this.intervalMillis = readerIntervalMillis;
  }

  /** Reads a document only while {@code isNeeded} returns true. */
  public void readWhile(DocumentKind kind, BooleanSupplier isNeeded) {
    onDemand.put(kind, isNeeded);
  }

  /** Refreshes all documents; to be called by a {@link Poller}. */
  public void refresh(long queriedAt, Poller.Completion completion) {
    new Round(queriedAt, completion).start();
  }

  /** Returns the interval from the start of one refresh to the next. */
  public long intervalMillis() {
    return intervalMillis;
  }

  private void updateFromPeer(DocumentSources.PeerDocument document, long sentAt) {
    Optional<SharedDocument> known = cache.find(document.kind());
    Optional<String> content =
        document
            .content()
            .or(
                () ->
                    known
                        .filter(cached -> cached.digest().equals(document.digest()))
                        .map(SharedDocument::content));
    content.ifPresent(
        text ->
            update(
                new SharedDocument(
                    document.kind(),
                    text,
                    document.digest(),
                    document.version(),
                    sentAt - document.ageMillis())));
  }

  /** Updates the cache from a store response that was read outside the regular refreshes. */
  public void update(DocumentKind kind, DocumentSources.StoreResponse.Read read, long queriedAt) {
    update(new SharedDocument(kind, read.content(), read.digest(), read.version(), queriedAt));
  }

  private void update(SharedDocument document) {
    DocumentCache.UpdateResult result = cache.update(document);
    if (result == DocumentCache.UpdateResult.OUTDATED) {
      return;
    }
    try {
      updateListener.accept(document, result);
    } catch (RuntimeException e) {
      // The other documents must still be updated, and the refresh must end.
      context.logEvent(
          EventCode.CONFIGURATION_INVALID,
          document.kind().name(),
          "version=" + document.version() + " " + e);
    }
  }
}
