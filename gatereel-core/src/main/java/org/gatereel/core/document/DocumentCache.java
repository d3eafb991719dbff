package org.gatereel.core.document;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Caches the newest version of each document that this host has received, from the store or from
 * other hosts.
 */
public final class DocumentCache {
  private final Map<DocumentKind, SharedDocument> documents = new EnumMap<>(DocumentKind.class);
  private final Set<DocumentKind> unused = EnumSet.noneOf(DocumentKind.class);

  /** The effect of an update. */
  public enum UpdateResult {
    /** The content changed. */
    CHANGED,
    /** The content was known; its confirmation time may be newer. */
    CONFIRMED,
    /** A newer version was known; the update was ignored. */
    OUTDATED
  }

  /**
   * Stores a document unless a newer version is known. If the content is known, only the version
   * and the confirmation time are updated.
   */
  public UpdateResult update(SharedDocument document) {
    SharedDocument known = documents.get(document.kind());
    if (known != null && known.digest().equals(document.digest())) {
      documents.put(document.kind(), known.withReading(merge(document, known)));
      return unused.remove(document.kind()) ? UpdateResult.CHANGED : UpdateResult.CONFIRMED;
    }
    if (known != null && isBefore(document, known)) {
      return UpdateResult.OUTDATED;
    }
    documents.put(document.kind(), document);
    unused.remove(document.kind());
    return UpdateResult.CHANGED;
  }

  private static StoreReading merge(SharedDocument one, SharedDocument other) {
    return isBefore(one, other)
        ? other.reading().mergedWith(one.reading())
        : one.reading().mergedWith(other.reading());
  }

  private static boolean isBefore(SharedDocument one, SharedDocument other) {
    return one.version().number() < other.version().number();
  }

  /**
   * Records that the newest version of a document is not in use, because its use failed. The next
   * update with the same content counts as a change.
   */
  public void markUnused(DocumentKind kind) {
    unused.add(kind);
  }

  public Optional<SharedDocument> find(DocumentKind kind) {
    return Optional.ofNullable(documents.get(kind));
  }

  /** Returns whether a document was confirmed at or after a time. */
  public boolean isConfirmedSince(DocumentKind kind, long time) {
    return find(kind).filter(known -> known.confirmedAt() >= time).isPresent();
  }
}
