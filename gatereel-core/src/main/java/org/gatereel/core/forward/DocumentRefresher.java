package org.gatereel.core.forward;

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
 * Keeps the documents of the store fresh without every host reading the store.
 *
 * <p>In each data centre one host reads the store, and the others ask it. A host whose knowledge
 * grows old because its reader is silent, or is behind itself, asks the store; if the store does
 * not answer either, it asks any other host, since the store may turn away some hosts and not
 * others, and leaves the store alone for a while. Who reads is a matter of cost only: whatever way
 * a document comes, its proof is as old as the reading of it.
 */
public final class DocumentRefresher {
  /** A reader's interval and an asker's, one after the other, take half of the bound. */
  private static final double READER_INTERVAL_RATIO = 0.3;

  private static final double FOLLOWER_INTERVAL_RATIO = 0.2;
  private static final long HOSTS_INTERVAL_MILLIS = 8_000;

  /** Hosts that start together do not find each other in the first readings. */
  private static final long INITIAL_HOSTS_INTERVAL_MILLIS = 1_500;

  private static final int INITIAL_HOSTS_READINGS = 4;
  private static final long READER_AVOIDANCE_MILLIS = 10_000;

  /**
   * A reader's proof may be older by half an interval than it is while all goes well. This and an
   * asker's interval, one after the other, leave a third of the bound for the way to the store.
   */
  private static final double FRESHNESS_RATIO = 0.45;

  /**
   * How long a host that has a reader leaves the store alone after it did not answer: first half of
   * the bound, then all of it. Readers go on asking, and their word is passed on.
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

  /** One attempt to learn everything anew. */
  private final class Round {
    private final long queriedAt;
    private final Poller.Completion completion;
    private final Set<DocumentKind> pendingReads = EnumSet.noneOf(DocumentKind.class);
    private Optional<Address> reader = Optional.empty();
    private boolean readerAnswered;
    private final Set<DocumentKind> requestedOnDemand = EnumSet.noneOf(DocumentKind.class);
    private String problem = "";

    private Round(long askedAt, Poller.Completion reply) {
      this.queriedAt = askedAt;
      this.completion = reply;
    }

    private void start() {
      reader = directory.reader(context.now());
      if (reader.isEmpty()) {
        intervalMillis = readerIntervalMillis;
        readStore();
        return;
      }
      sources.queryPeer(reader.get(), cache, this::readerAnswered);
    }

    private void readerAnswered(Optional<List<DocumentSources.PeerDocument>> answer) {
      intervalMillis = followerIntervalMillis;
      readerAnswered = answer.isPresent();
      updateAll(answer, queriedAt);
      if (cache.isConfirmedSince(queriedAt - freshMillis)) {
        completion.complete(Optional.empty());
        return;
      }
      intervalMillis = readerIntervalMillis;
      if (!readerAnswered) {
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
      Address lost = reader.orElseThrow();
      directory.avoid(lost, context.now() + READER_AVOIDANCE_MILLIS);
      context.note(
          EventCode.READER_LOST, lost.toString(), readerAnswered ? "it is behind" : "no answer");
    }

    private void readStore() {
      pendingReads.add(DocumentKind.CONFIGURATION);
      pendingReads.add(DocumentKind.TARGETS);
      long hostsMillis =
          hostsReadings < INITIAL_HOSTS_READINGS
              ? INITIAL_HOSTS_INTERVAL_MILLIS
              : HOSTS_INTERVAL_MILLIS;
      if (context.now() - hostsReadAt >= hostsMillis) {
        hostsReadAt = context.now();
        hostsReadings++;
        pendingReads.add(DocumentKind.HOSTS);
      }
      for (DocumentKind kind : EnumSet.copyOf(pendingReads)) {
        readStore(kind);
      }
      readOnDemand();
    }

    private void readStore(DocumentKind kind) {
      sources.readStore(kind, answer -> storeAnswered(kind, answer));
    }

    /** What has just turned out to be needed is asked for in this round, not in the next. */
    private void readOnDemand() {
      onDemand.forEach(
          (kind, isNeeded) -> {
            if (isNeeded.getAsBoolean() && requestedOnDemand.add(kind)) {
              pendingReads.add(kind);
              readStore(kind);
            }
          });
    }

    private void storeAnswered(DocumentKind kind, DocumentSources.StoreResponse answer) {
      pendingReads.remove(kind);
      if (answer instanceof DocumentSources.StoreResponse.Read read) {
        DocumentRefresher.this.update(kind, read, queriedAt);
      } else if (answer instanceof DocumentSources.StoreResponse.Failed failed && kind.isUrgent()) {
        problem = kind + ": " + failed.problem();
      }
      readOnDemand();
      if (pendingReads.isEmpty()) {
        onStoreReadsComplete();
      }
    }

    private void onStoreReadsComplete() {
      if (problem.isEmpty()) {
        storeAnswered();
        completion.complete(Optional.empty());
        return;
      }
      backOffStore();
      queryOtherHost();
    }

    private void storeAnswered() {
      storeBackoffMillis = minStoreBackoffMillis;
      if (readerAnswered) {
        avoidReader();
      }
    }

    /**
     * A reader that is behind because the store answers nobody is kept, and the store left alone;
     * else each host would pass reader after reader over until it reads for itself.
     */
    private void backOffStore() {
      if (reader.isPresent()) {
        storeBackoffUntil = context.now() + storeBackoffMillis;
        storeBackoffMillis = Math.min(maxStoreBackoffMillis, 2 * storeBackoffMillis);
      }
    }

    private void queryOtherHost() {
      Optional<Address> other = directory.anyOtherHost(context.random());
      if (other.isEmpty()) {
        completion.complete(Optional.of(problem));
        return;
      }
      long secondAskedAt = context.knowledgeTime();
      sources.queryPeer(
          other.get(),
          cache,
          answer -> {
            updateAll(answer, secondAskedAt);
            completion.complete(Optional.of(problem));
          });
    }

    private void updateAll(Optional<List<DocumentSources.PeerDocument>> answer, long sentAt) {
      answer.orElse(List.of()).forEach(reading -> updateFromPeer(reading, sentAt));
    }
  }

  /**
   * Makes a refresher.
   *
   * @param boundMillis within which a change must be known
   * @param taken is told of each reading that is not outdated
   */
  public DocumentRefresher(
      CoreContext context,
      HostDirectory directory,
      DocumentCache cache,
      DocumentSources sources,
      long boundMillis,
      BiConsumer<SharedDocument, DocumentCache.UpdateResult> taken) {
    this.context = context;
    this.directory = directory;
    this.cache = cache;
    this.sources = sources;
    this.updateListener = taken;
    this.freshMillis = (long) (FRESHNESS_RATIO * boundMillis);
    this.readerIntervalMillis = (long) (READER_INTERVAL_RATIO * boundMillis);
    this.followerIntervalMillis = (long) (FOLLOWER_INTERVAL_RATIO * boundMillis);
    this.minStoreBackoffMillis = (long) (MIN_STORE_BACKOFF_RATIO * boundMillis);
    this.maxStoreBackoffMillis = boundMillis;
    this.storeBackoffMillis = minStoreBackoffMillis;
    this.intervalMillis = readerIntervalMillis;
  }

  /** Says when a document has to be known that is not read all the time. */
  public void readWhile(DocumentKind kind, BooleanSupplier isNeeded) {
    onDemand.put(kind, isNeeded);
  }

  /** Learns everything anew; to be called by a {@link Poller}. */
  public void refresh(long askedAt, Poller.Completion reply) {
    new Round(askedAt, reply).start();
  }

  /** Returns how long after a question the next one is due. */
  public long intervalMillis() {
    return intervalMillis;
  }

  private void updateFromPeer(DocumentSources.PeerDocument reading, long sentAt) {
    Optional<SharedDocument> known = cache.find(reading.kind());
    Optional<String> content =
        reading
            .content()
            .or(
                () ->
                    known
                        .filter(document -> document.digest().equals(reading.digest()))
                        .map(SharedDocument::content));
    content.ifPresent(
        text ->
            update(
                new SharedDocument(
                    reading.kind(),
                    text,
                    reading.digest(),
                    reading.version(),
                    sentAt - reading.ageMillis())));
  }

  /** Takes in what the store said to a question beside the usual ones. */
  public void update(DocumentKind kind, DocumentSources.StoreResponse.Read read, long askedAt) {
    update(new SharedDocument(kind, read.content(), read.digest(), read.version(), askedAt));
  }

  private void update(SharedDocument document) {
    DocumentCache.UpdateResult outcome = cache.update(document);
    if (outcome != DocumentCache.UpdateResult.OUTDATED) {
      updateListener.accept(document, outcome);
    }
  }
}
