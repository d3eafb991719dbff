package org.gatereel.core.document;

import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;

/**
 * Whether one document can be read from the store, and how long a host with a reader leaves it to
 * the reader after a failure.
 */
final class DocumentAvailability {
  private final CoreContext context;
  private final DocumentKind kind;
  private final long minBackoffMillis;
  private final long maxBackoffMillis;
  private long backoffMillis;
  private long backoffUntil = Long.MIN_VALUE;
  private boolean failing;
  private int openReads;

  /**
   * Creates the state of a document that has not been read.
   *
   * @param minBackoffMillis the first backoff; each further one is twice as long
   * @param maxBackoffMillis the longest backoff
   */
  DocumentAvailability(
      CoreContext context, DocumentKind kind, long minBackoffMillis, long maxBackoffMillis) {
    this.context = context;
    this.kind = kind;
    this.minBackoffMillis = minBackoffMillis;
    this.maxBackoffMillis = maxBackoffMillis;
    this.backoffMillis = minBackoffMillis;
  }

  void recordQuery() {
    openReads++;
  }

  void recordEnd() {
    openReads--;
  }

  /** Returns whether the store has not answered a read yet. */
  boolean isBeingRead() {
    return openReads > 0;
  }

  void recordRead() {
    backoffMillis = minBackoffMillis;
    if (failing) {
      failing = false;
      context.logEvent(EventCode.DOCUMENT_READ_AGAIN, kind.name(), "");
    }
  }

  void recordFailure(String problem) {
    if (!failing) {
      failing = true;
      context.logEvent(EventCode.DOCUMENT_UNREADABLE, kind.name(), problem);
    }
  }

  /** Backs off from the store; does nothing during a backoff. */
  void backOff() {
    if (!isBackingOff()) {
      backoffUntil = context.now() + backoffMillis;
      backoffMillis = Math.min(maxBackoffMillis, 2 * backoffMillis);
    }
  }

  boolean isBackingOff() {
    return context.now() < backoffUntil;
  }
}
