package org.gatereel.core.document;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
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

  /** A reader's interval, and the queries of two other hosts that do not respond. */
  private static final double TIMEOUT_RATIO = 0.6;

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

  private static final Set<DocumentKind> URGENT_KINDS =
      Stream.of(DocumentKind.values())
          .filter(DocumentKind::isUrgent)
          .collect(Collectors.toCollection(() -> EnumSet.noneOf(DocumentKind.class)));

  private final CoreContext context;
  private final HostDirectory directory;
  private final DocumentCache cache;
  private final DocumentSources sources;
  private final DocumentUpdater updater;
  private final long freshMillis;
  private final long readerIntervalMillis;
  private final long followerIntervalMillis;
  private final Map<DocumentKind, DocumentAvailability> availability =
      new EnumMap<>(DocumentKind.class);
  private final long timeoutMillis;
  private long intervalMillis;
  private int hostsReadings;
  private boolean readsStoreNext;
  private long hostsReadAt = Long.MIN_VALUE / 2;
  private final Map<DocumentKind, BooleanSupplier> onDemand = new EnumMap<>(DocumentKind.class);

  /**
   * One refresh of all documents. Each document is read independently of the others, so that one
   * which is slow, fails or throws delays no other. The refresh ends with the reads of the urgent
   * documents, or after a reader's interval; later results are still used.
   */
  private final class Round {
    private final long queriedAt;
    private final Poller.Completion completion;
    private final Set<DocumentKind> pendingReads = EnumSet.noneOf(DocumentKind.class);
    private final Set<DocumentKind> requestedOnDemand = EnumSet.noneOf(DocumentKind.class);
    private final List<String> problems = new ArrayList<>();
    private Optional<Address> reader = Optional.empty();
    private final long returnsBefore = updater.history().returns();
    private boolean readerResponded;
    private Set<DocumentKind> outdatedAtReader = Set.of();
    private boolean anyRead;
    private boolean ending;

    private Round(long queriedAt, Poller.Completion completion) {
      this.queriedAt = queriedAt;
      this.completion = completion;
    }

    private void start() {
      reader = readsStoreNext ? Optional.empty() : directory.reader(context.now());
      readsStoreNext = false;
      if (reader.isEmpty()) {
        intervalMillis = readerIntervalMillis;
        readStore();
        return;
      }
      queryPeer(reader.get(), this::onReaderResponse);
    }

    private void queryPeer(
        Address peer, Consumer<Optional<List<DocumentSources.PeerDocument>>> callback) {
      try {
        sources.queryPeer(peer, cache, callback);
      } catch (RuntimeException e) {
        context.logEvent(EventCode.PEER_QUERY_FAILED, peer.toString(), e.toString());
        callback.accept(Optional.empty());
      }
    }

    private void onReaderResponse(Optional<List<DocumentSources.PeerDocument>> response) {
      intervalMillis = followerIntervalMillis;
      readerResponded = response.isPresent();
      updateAll(reader.orElseThrow(), response, queriedAt);
      Set<DocumentKind> outdated = documentsUnconfirmedSince(queriedAt - freshMillis);
      if (outdated.isEmpty()) {
        completion.complete(Optional.empty());
        return;
      }
      intervalMillis = readerIntervalMillis;
      if (readerResponded) {
        outdatedAtReader = outdated;
      } else {
        avoidReader();
      }
      readStore();
    }

    private void avoidReader() {
      Address avoided = reader.orElseThrow();
      directory.avoid(avoided, context.now() + READER_AVOIDANCE_MILLIS);
      context.logEvent(
          EventCode.READER_LOST,
          avoided.toString(),
          readerResponded ? "it is behind" : "no answer");
    }

    /** Reads all urgent documents: this round may last too long for one that is still recent. */
    private void readStore() {
      for (DocumentKind kind : URGENT_KINDS) {
        if (availability.get(kind).isBackingOff()) {
          problems.add(kind + ": the store did not answer");
        } else {
          pendingReads.add(kind);
        }
      }
      if (pendingReads.isEmpty()) {
        end();
        return;
      }
      context.schedule(readerIntervalMillis, this::endUnlessEnding);
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
        recordHostsRead();
        readStore(DocumentKind.HOSTS);
      }
    }

    private void readStore(DocumentKind kind) {
      availability.get(kind).recordQuery();
      try {
        sources.readStore(kind, response -> onStoreResponse(kind, response));
      } catch (RuntimeException e) {
        onStoreResponse(kind, new DocumentSources.StoreResponse.Failed(e.toString()));
      }
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
      boolean isUrgent = pendingReads.remove(kind);
      availability.get(kind).recordEnd();
      if (response instanceof DocumentSources.StoreResponse.Read read) {
        availability.get(kind).recordRead();
        updater.updateFromStore(kind, read, queriedAt);
        if (isUrgent) {
          onUrgentRead(kind);
        }
      } else if (response instanceof DocumentSources.StoreResponse.Failed failed) {
        availability.get(kind).recordFailure(failed.problem());
        if (isUrgent) {
          onUrgentReadFailed(kind, failed.problem());
        }
      }
      readOnDemand();
      if (isUrgent && pendingReads.isEmpty()) {
        endUnlessEnding();
      }
    }

    /** A reader that has not read the store since its return is not slower than this host. */
    private void onUrgentRead(DocumentKind kind) {
      anyRead = true;
      boolean isReturned = updater.history().returns() > returnsBefore;
      if (outdatedAtReader.contains(kind) && !ending && !isReturned) {
        outdatedAtReader = Set.of();
        avoidReader();
      }
    }

    /**
     * Backs off from the store but keeps the reader, whose document is outdated because the store
     * does not respond. Otherwise each host would avoid reader after reader until it reads the
     * store itself.
     */
    private void onUrgentReadFailed(DocumentKind kind, String problem) {
      problems.add(kind + ": " + problem);
      if (reader.isPresent()) {
        availability.get(kind).backOff();
      }
    }

    private void endUnlessEnding() {
      if (!ending) {
        end();
      }
    }

    /** Queries another host for the documents that this round has not read, and then completes. */
    private void end() {
      ending = true;
      pendingReads.forEach(kind -> problems.add(kind + ": no response yet"));
      if (problems.isEmpty()) {
        completion.complete(Optional.empty());
      } else {
        queryOtherHost();
      }
    }

    private void queryOtherHost() {
      Optional<Address> otherHost = directory.anyOtherHost(context.random());
      if (otherHost.isEmpty()) {
        completeAfterProblem();
        return;
      }
      long secondQueriedAt = context.nowIncludingSuspensions();
      queryPeer(
          otherHost.get(),
          response -> {
            updateAll(otherHost.get(), response, secondQueriedAt);
            completeAfterProblem();
          });
    }

    /** The store responds if any document was read; then only the next interval is awaited. */
    private void completeAfterProblem() {
      if (anyRead) {
        completion.complete(Optional.empty());
      } else {
        completion.complete(Optional.of(String.join(", ", problems)));
      }
    }

    private void updateAll(
        Address peer, Optional<List<DocumentSources.PeerDocument>> response, long sentAt) {
      response
          .orElse(List.of())
          .forEach(document -> updater.updateFromPeer(peer, document, sentAt));
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
    this.updater = new DocumentUpdater(context, cache, updateListener);
    this.freshMillis = (long) (FRESHNESS_RATIO * boundMillis);
    this.readerIntervalMillis = (long) (READER_INTERVAL_RATIO * boundMillis);
    this.followerIntervalMillis = (long) (FOLLOWER_INTERVAL_RATIO * boundMillis);
    this.timeoutMillis = (long) (TIMEOUT_RATIO * boundMillis);
    this.intervalMillis = readerIntervalMillis;
    for (DocumentKind kind : DocumentKind.values()) {
      availability.put(
          kind,
          new DocumentAvailability(
              context, kind, (long) (MIN_STORE_BACKOFF_RATIO * boundMillis), boundMillis));
    }
    history().onReturn(this::readHostsAsAtStart);
  }

  /** Hosts write entries that the store has lost, as hosts that start together do. */
  private void readHostsAsAtStart() {
    hostsReadAt = Long.MIN_VALUE / 2;
    hostsReadings = 0;
  }

  /**
   * Has the next refresh read the store itself, as hosts that start together do: their reader has
   * nothing to tell yet, and must not be taken for slow.
   */
  public void readStoreInNextRefresh() {
    readsStoreNext = true;
  }

  /** Returns the time within which a refresh completes, in milliseconds. */
  public long timeoutMillis() {
    return timeoutMillis;
  }

  /** Returns whether the store has not answered a read of a document yet. */
  public boolean isBeingRead(DocumentKind kind) {
    return availability.get(kind).isBeingRead();
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

  private void recordHostsRead() {
    hostsReadAt = context.now();
    hostsReadings++;
  }

  private Set<DocumentKind> documentsUnconfirmedSince(long time) {
    Set<DocumentKind> unconfirmed = EnumSet.copyOf(URGENT_KINDS);
    unconfirmed.removeIf(kind -> cache.isConfirmedSince(kind, time));
    return unconfirmed;
  }

  /** Updates the cache from a store response that was read outside the regular refreshes. */
  public void update(DocumentKind kind, DocumentSources.StoreResponse.Read read, long queriedAt) {
    if (kind == DocumentKind.HOSTS) {
      recordHostsRead();
    }
    updater.updateFromStore(kind, read, queriedAt);
  }

  /** Returns what is known of the store's returns from older copies. */
  public StoreHistory history() {
    return updater.history();
  }
}
