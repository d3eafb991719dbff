package org.gatereel.core.document;

/**
 * A document of the store as read by this or another host.
 *
 * @param content the document's text, in the format of the platform's adapter
 * @param digest equal for equal contents
 * @param version the version of the whole store when the document was read; never decreases between
 *     readings
 * @param confirmedAt when the query was sent whose response held this document, in milliseconds of
 *     this host's steady clock
 */
public record SharedDocument(
    DocumentKind kind, String content, String digest, long version, long confirmedAt) {

  /** Returns this document with another version and confirmation time. */
  SharedDocument withConfirmation(long newVersion, long newConfirmedAt) {
    return new SharedDocument(kind, content, digest, newVersion, newConfirmedAt);
  }
}
