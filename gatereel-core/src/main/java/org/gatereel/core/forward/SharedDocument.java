package org.gatereel.core.forward;

/**
 * A document of the store as some host read it.
 *
 * @param content the document's text, in the form that the platform's adapter gives it
 * @param digest equal for equal contents
 * @param version the version of the whole store when it was read; a later reading has no lower one
 * @param confirmedAt when the question was sent that the store answered with it, in milliseconds of
 *     this host's steady clock
 */
public record SharedDocument(
    DocumentKind kind, String content, String digest, long version, long confirmedAt) {

  /** Returns the same document, proved at another time. */
  SharedDocument withConfirmation(long laterVersion, long at) {
    return new SharedDocument(kind, content, digest, laterVersion, at);
  }
}
