package org.gatereel.core.document;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetId;

/**
 * Reads documents from the store and from other hosts. Each callback is called exactly once, later,
 * on the control thread.
 */
public interface DocumentSources {
  /**
   * Reads a document as it is at a time after this call. Several reads of a document may be pending
   * at a time.
   */
  void readStore(DocumentKind kind, Consumer<StoreResponse> callback);

  /**
   * Queries another host for all its documents; the result is empty if the query fails.
   *
   * @param known the documents known here, whose contents need not be sent again
   */
  void queryPeer(
      Address peer, DocumentCache known, Consumer<Optional<List<PeerDocument>>> callback);

  /** The result of reading from the store. */
  sealed interface StoreResponse {
    /** The document was read. */
    record Read(String content, String digest, StoreVersion version) implements StoreResponse {}

    /** The read failed, or the response was invalid. */
    record Failed(String problem) implements StoreResponse {}
  }

  /**
   * A document of another host.
   *
   * @param content empty if the content is the one known here
   * @param ageMillis the time from the other host's query of the store to its response
   * @param readMillis the time from that query to the store's response, which is part of the age
   * @param excludedTargets the targets of the document that the other host knows to have left
   */
  record PeerDocument(
      DocumentKind kind,
      Optional<String> content,
      String digest,
      StoreVersion version,
      long ageMillis,
      long readMillis,
      Set<TargetId> excludedTargets) {

    /** Creates a document of which no targets are excluded. */
    public PeerDocument(
        DocumentKind kind,
        Optional<String> content,
        String digest,
        StoreVersion version,
        long ageMillis,
        long readMillis) {
      this(kind, content, digest, version, ageMillis, readMillis, Set.of());
    }
  }
}
