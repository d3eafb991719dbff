package org.gatereel.core.forward;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** The newest reading of each document that this host has, by whichever way it came. */
public final class DocumentCache {
  private final Map<DocumentKind, SharedDocument> documents = new EnumMap<>(DocumentKind.class);

  /** What became of a reading. */
  public enum UpdateResult {
    /** Its content differs from what was known. */
    CHANGED,
    /** Its content was known already; only its proof may be newer. */
    CONFIRMED,
    /** A newer one was known. */
    OUTDATED
  }

  /** Takes a reading in. */
  public UpdateResult update(SharedDocument reading) {
    SharedDocument known = documents.get(reading.kind());
    if (known != null && known.digest().equals(reading.digest())) {
      long version = Math.max(known.version(), reading.version());
      long provenAt = Math.max(known.confirmedAt(), reading.confirmedAt());
      documents.put(reading.kind(), known.withConfirmation(version, provenAt));
      return UpdateResult.CONFIRMED;
    }
    if (known != null && reading.version() < known.version()) {
      return UpdateResult.OUTDATED;
    }
    documents.put(reading.kind(), reading);
    return UpdateResult.CHANGED;
  }

  public Optional<SharedDocument> find(DocumentKind kind) {
    return Optional.ofNullable(documents.get(kind));
  }

  /** Returns whether all urgent documents were proved at or after a time. */
  public boolean isConfirmedSince(long time) {
    for (DocumentKind kind : DocumentKind.values()) {
      boolean proved = find(kind).filter(known -> known.confirmedAt() >= time).isPresent();
      if (kind.isUrgent() && !proved) {
        return false;
      }
    }
    return true;
  }
}
