package org.gatereel.core.document;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;

/** Puts documents that were read from the store or from other hosts into the cache and into use. */
final class DocumentUpdater {
  private static final String STORE = "store";

  private final CoreContext context;
  private final DocumentCache cache;
  private final StoreHistory history;
  private final BiConsumer<SharedDocument, DocumentCache.UpdateResult> updateListener;

  /** The documents whose last reading was outdated. */
  private final Set<DocumentKind> outdated = EnumSet.noneOf(DocumentKind.class);

  /**
   * Creates an updater.
   *
   * @param updateListener called for each update that is not outdated
   */
  DocumentUpdater(
      CoreContext context,
      DocumentCache cache,
      BiConsumer<SharedDocument, DocumentCache.UpdateResult> updateListener) {
    this.context = context;
    this.cache = cache;
    this.history = new StoreHistory(context);
    this.updateListener = updateListener;
  }

  StoreHistory history() {
    return history;
  }

  /** Updates a document from a response of the store. */
  void updateFromStore(DocumentKind kind, DocumentSources.StoreResponse.Read read, long queriedAt) {
    StoreReading reading =
        new StoreReading(read.version(), queriedAt, context.nowIncludingSuspensions());
    update(new SharedDocument(kind, read.content(), read.digest(), reading), STORE);
  }

  /**
   * Updates a document from a response of another host. One that cannot be used must not keep the
   * refresh open.
   *
   * @param sentAt when the query was sent to the other host
   */
  void updateFromPeer(Address peer, DocumentSources.PeerDocument document, long sentAt) {
    try {
      content(document)
          .map(
              text ->
                  new SharedDocument(
                      document.kind(), text, document.digest(), reading(document, sentAt)))
          .ifPresent(received -> update(received, peer.toString()));
    } catch (RuntimeException e) {
      context.logEvent(EventCode.CONFIGURATION_INVALID, "document of another host", e.toString());
    }
  }

  /** Returns the content; empty if the other host assumes that it is known here and it is not. */
  private Optional<String> content(DocumentSources.PeerDocument document) {
    return document
        .content()
        .or(
            () ->
                cache
                    .find(document.kind())
                    .filter(cached -> cached.digest().equals(document.digest()))
                    .map(SharedDocument::content));
  }

  /** The age refers to a time between the query of the other host and now. */
  private StoreReading reading(DocumentSources.PeerDocument document, long sentAt) {
    long readBeforeMillis = document.ageMillis() - document.readMillis();
    return new StoreReading(
        document.version(),
        sentAt - document.ageMillis(),
        context.nowIncludingSuspensions() - readBeforeMillis);
  }

  private void update(SharedDocument document, String source) {
    DocumentCache.UpdateResult result = updateCache(document, source);
    if (result == DocumentCache.UpdateResult.OUTDATED) {
      logOutdated(document, source);
      return;
    }
    outdated.remove(document.kind());
    if (result == DocumentCache.UpdateResult.CHANGED && document.kind().isUrgent()) {
      logChange(document, source);
    }
    try {
      updateListener.accept(document, result);
    } catch (RuntimeException e) {
      // The other documents must still be updated, and the refresh must end.
      cache.markUnused(document.kind());
      context.logEvent(
          EventCode.CONFIGURATION_INVALID,
          document.kind().name(),
          "version=" + document.version() + " " + e);
    }
  }

  /**
   * Other hosts' clocks may have stood still with them, so that a reading of theirs is older than
   * it seems: it must not bring back an earlier era. This host's own later readings may.
   */
  private DocumentCache.UpdateResult updateCache(SharedDocument document, String source) {
    if (source.equals(STORE) || !history.knowsLaterEraThan(document.version())) {
      history.record(document.kind(), document.reading(), source);
      return cache.update(document);
    }
    return cache
            .find(document.kind())
            .filter(known -> known.version().isOfLaterEraThan(document.version()))
            .isPresent()
        ? DocumentCache.UpdateResult.OUTDATED
        : cache.update(document);
  }

  private void logChange(SharedDocument document, String source) {
    context.logEvent(EventCode.DOCUMENT_CHANGED, document.kind().name(), origin(document, source));
  }

  /**
   * Logs the first of a series of outdated readings. That another host has older entries of hosts
   * is usual.
   */
  private void logOutdated(SharedDocument document, String source) {
    boolean isUnusual = document.kind().isUrgent() || source.equals(STORE);
    if (isUnusual && outdated.add(document.kind())) {
      SharedDocument known = cache.find(document.kind()).orElseThrow();
      context.logEvent(
          EventCode.DOCUMENT_OUTDATED,
          document.kind().name(),
          origin(document, source)
              + " known="
              + known.version()
              + " knownAgeMillis="
              + ageMillis(known));
    }
  }

  private String origin(SharedDocument document, String source) {
    return "storeVersion="
        + document.version()
        + " source="
        + source
        + " ageMillis="
        + ageMillis(document);
  }

  private long ageMillis(SharedDocument document) {
    return context.nowIncludingSuspensions() - document.confirmedAt();
  }
}
