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
  private static final double READER_PART_OF_BOUND = 0.3;

  private static final double ASKER_PART_OF_BOUND = 0.2;
  private static final long HOSTS_MILLIS = 8_000;

  /** Hosts that start together do not find each other in the first readings. */
  private static final long FIRST_HOSTS_MILLIS = 1_500;

  private static final int FIRST_READINGS = 4;
  private static final long AVOID_MILLIS = 10_000;

  /**
   * A reader's proof may be older by half an interval than it is while all goes well. This and an
   * asker's interval, one after the other, leave a third of the bound for the way to the store.
   */
  private static final double FRESH_PART_OF_BOUND = 0.45;

  /**
   * How long a host that has a reader leaves the store alone after it did not answer: first half of
   * the bound, then all of it. Readers go on asking, and their word is passed on.
   */
  private static final double REST_PART_OF_BOUND = 0.5;

  private final CoreContext context;
  private final HostDirectory directory;
  private final DocumentCache cache;
  private final DocumentSources sources;
  private final BiConsumer<SharedDocument, DocumentCache.Taken> taken;
  private final long freshMillis;
  private final long readerMillis;
  private final long askerMillis;
  private final long shortestRestMillis;
  private final long longestRestMillis;
  private long restMillis;
  private long storeRestsUntil = Long.MIN_VALUE;
  private long intervalMillis;
  private int hostsReadings;
  private long hostsAskedAt = Long.MIN_VALUE / 2;
  private final Map<DocumentKind, BooleanSupplier> needed = new EnumMap<>(DocumentKind.class);

  /** One attempt to learn everything anew. */
  private final class Round {
    private final long askedAt;
    private final Poller.Reply reply;
    private final Set<DocumentKind> open = EnumSet.noneOf(DocumentKind.class);
    private Optional<Address> reader = Optional.empty();
    private boolean readerAnswered;
    private final Set<DocumentKind> asked = EnumSet.noneOf(DocumentKind.class);
    private String problem = "";

    private Round(long askedAt, Poller.Reply reply) {
      this.askedAt = askedAt;
      this.reply = reply;
    }

    private void start() {
      reader = directory.reader(context.now());
      if (reader.isEmpty()) {
        intervalMillis = readerMillis;
        askStore();
        return;
      }
      sources.askPeer(reader.get(), cache, this::readerAnswered);
    }

    private void readerAnswered(Optional<List<DocumentSources.PeerReading>> answer) {
      intervalMillis = askerMillis;
      readerAnswered = answer.isPresent();
      takeAll(answer, askedAt);
      if (cache.isProvedSince(askedAt - freshMillis)) {
        reply.settled(Optional.empty());
        return;
      }
      intervalMillis = readerMillis;
      if (!readerAnswered) {
        passReaderOver();
      }
      if (context.now() < storeRestsUntil) {
        problem = "the store did not answer";
        askAnother();
      } else {
        askStore();
      }
    }

    private void passReaderOver() {
      Address lost = reader.orElseThrow();
      directory.avoid(lost, context.now() + AVOID_MILLIS);
      context.logEvent(
          EventCode.READER_LOST, lost.toString(), readerAnswered ? "it is behind" : "no answer");
    }

    private void askStore() {
      open.add(DocumentKind.CONFIGURATION);
      open.add(DocumentKind.TARGETS);
      long hostsMillis = hostsReadings < FIRST_READINGS ? FIRST_HOSTS_MILLIS : HOSTS_MILLIS;
      if (context.now() - hostsAskedAt >= hostsMillis) {
        hostsAskedAt = context.now();
        hostsReadings++;
        open.add(DocumentKind.HOSTS);
      }
      for (DocumentKind kind : EnumSet.copyOf(open)) {
        askStore(kind);
      }
      askForNeeded();
    }

    private void askStore(DocumentKind kind) {
      sources.askStore(kind, answer -> storeAnswered(kind, answer));
    }

    /** What has just turned out to be needed is asked for in this round, not in the next. */
    private void askForNeeded() {
      needed.forEach(
          (kind, isNeeded) -> {
            if (isNeeded.getAsBoolean() && asked.add(kind)) {
              open.add(kind);
              askStore(kind);
            }
          });
    }

    private void storeAnswered(DocumentKind kind, DocumentSources.StoreAnswer answer) {
      open.remove(kind);
      if (answer instanceof DocumentSources.StoreAnswer.Read read) {
        DocumentRefresher.this.take(kind, read, askedAt);
      } else if (answer instanceof DocumentSources.StoreAnswer.Failed failed && kind.isUrgent()) {
        problem = kind + ": " + failed.problem();
      }
      askForNeeded();
      if (open.isEmpty()) {
        storeSettled();
      }
    }

    private void storeSettled() {
      if (problem.isEmpty()) {
        storeAnswered();
        reply.settled(Optional.empty());
        return;
      }
      storeFailed();
      askAnother();
    }

    private void storeAnswered() {
      restMillis = shortestRestMillis;
      if (readerAnswered) {
        passReaderOver();
      }
    }

    /**
     * A reader that is behind because the store answers nobody is kept, and the store left alone;
     * else each host would pass reader after reader over until it reads for itself.
     */
    private void storeFailed() {
      if (reader.isPresent()) {
        storeRestsUntil = context.now() + restMillis;
        restMillis = Math.min(longestRestMillis, 2 * restMillis);
      }
    }

    private void askAnother() {
      Optional<Address> other = directory.anyOther(context.random());
      if (other.isEmpty()) {
        reply.settled(Optional.of(problem));
        return;
      }
      long secondAskedAt = context.nowIncludingSuspensions();
      sources.askPeer(
          other.get(),
          cache,
          answer -> {
            takeAll(answer, secondAskedAt);
            reply.settled(Optional.of(problem));
          });
    }

    private void takeAll(Optional<List<DocumentSources.PeerReading>> answer, long sentAt) {
      answer.orElse(List.of()).forEach(reading -> takeFromPeer(reading, sentAt));
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
      BiConsumer<SharedDocument, DocumentCache.Taken> taken) {
    this.context = context;
    this.directory = directory;
    this.cache = cache;
    this.sources = sources;
    this.taken = taken;
    this.freshMillis = (long) (FRESH_PART_OF_BOUND * boundMillis);
    this.readerMillis = (long) (READER_PART_OF_BOUND * boundMillis);
    this.askerMillis = (long) (ASKER_PART_OF_BOUND * boundMillis);
    this.shortestRestMillis = (long) (REST_PART_OF_BOUND * boundMillis);
    this.longestRestMillis = boundMillis;
    this.restMillis = shortestRestMillis;
    this.intervalMillis = readerMillis;
  }

  /** Says when a document has to be known that is not read all the time. */
  public void readWhile(DocumentKind kind, BooleanSupplier isNeeded) {
    needed.put(kind, isNeeded);
  }

  /** Learns everything anew; to be called by a {@link Poller}. */
  public void refresh(long askedAt, Poller.Reply reply) {
    new Round(askedAt, reply).start();
  }

  /** Returns how long after a question the next one is due. */
  public long intervalMillis() {
    return intervalMillis;
  }

  private void takeFromPeer(DocumentSources.PeerReading reading, long sentAt) {
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
            take(
                new SharedDocument(
                    reading.kind(),
                    text,
                    reading.digest(),
                    reading.version(),
                    sentAt - reading.ageMillis())));
  }

  /** Takes in what the store said to a question beside the usual ones. */
  public void take(DocumentKind kind, DocumentSources.StoreAnswer.Read read, long askedAt) {
    take(new SharedDocument(kind, read.content(), read.digest(), read.version(), askedAt));
  }

  private void take(SharedDocument document) {
    DocumentCache.Taken outcome = cache.take(document);
    if (outcome != DocumentCache.Taken.OUTDATED) {
      taken.accept(document, outcome);
    }
  }
}
