package org.gatereel.core.document;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.gatereel.core.model.TargetId;

/**
 * Caches the newest version of each document that this host has received, from the store or from
 * other hosts.
 */
public final class DocumentCache {
  private final Map<DocumentKind, SharedDocument> documents = new EnumMap<>(DocumentKind.class);
  private final Set<DocumentKind> unused = EnumSet.noneOf(DocumentKind.class);
  private Supplier<Set<TargetId>> excludedTargets = Set::of;

  /** The effect of an update. */
  public enum UpdateResult {
    /** The content changed. */
    CHANGED,
    /** The content was known; its confirmation time may be newer. */
    CONFIRMED,
    /** A newer reading was known; the update was ignored. */
    OUTDATED
  }

  /**
   * Stores a document unless a newer reading is known. If the content is known, only the reading is
   * updated.
   */
  public UpdateResult update(SharedDocument document) {
    SharedDocument known = documents.get(document.kind());
    if (known != null && known.digest().equals(document.digest())) {
      documents.put(document.kind(), known.withReading(merge(document, known)));
      return unused.remove(document.kind()) ? UpdateResult.CHANGED : UpdateResult.CONFIRMED;
    }
    if (known != null && document.reading().isOlderThan(known.reading())) {
      return UpdateResult.OUTDATED;
    }
    documents.put(document.kind(), document);
    unused.remove(document.kind());
    return UpdateResult.CHANGED;
  }

  private static StoreReading merge(SharedDocument one, SharedDocument other) {
    return one.reading().isOlderThan(other.reading())
        ? other.reading().mergedWith(one.reading())
        : one.reading().mergedWith(other.reading());
  }

  /**
   * Records that the newest version of a document is not in use, because its use failed. The next
   * update with the same content counts as a change.
   */
  public void markUnused(DocumentKind kind) {
    unused.add(kind);
  }

  /**
   * Sets which targets this host knows to have left, though the list of targets names them.
   *
   * @param excluded returns them; called whenever another host receives the list
   */
  public void setExcludedTargets(Supplier<Set<TargetId>> excluded) {
    excludedTargets = excluded;
  }

  /** Returns the targets of a document that this host knows to have left. */
  public Set<TargetId> excludedTargets(DocumentKind kind) {
    return kind == DocumentKind.TARGETS ? excludedTargets.get() : Set.of();
  }

  public Optional<SharedDocument> find(DocumentKind kind) {
    return Optional.ofNullable(documents.get(kind));
  }

  /** Returns whether a document was confirmed at or after a time. */
  public boolean isConfirmedSince(DocumentKind kind, long time) {
    return find(kind).filter(known -> known.confirmedAt() >= time).isPresent();
  }
}
