package org.gatereel.core.document;

/**
 * A document of the store as read by this or another host.
 *
 * @param content the document's text, in the format of the platform's adapter
 * @param digest equal for equal contents
 * @param reading the newest reading that returned this content
 */
public record SharedDocument(
    DocumentKind kind, String content, String digest, StoreReading reading) {

  /** Returns the version of the whole store when the document was read. */
  public StoreVersion version() {
    return reading.version();
  }

  /**
   * Returns when the query was sent whose response held this document, in milliseconds of this
   * host's steady clock.
   */
  public long confirmedAt() {
    return reading.queriedAt();
  }

  /** Returns this document as confirmed by another reading. */
  SharedDocument withReading(StoreReading newReading) {
    return new SharedDocument(kind, content, digest, newReading);
  }
}
