package org.gatereel.core.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.model.Address;

/** How documents are asked for; each answer is given exactly once, later, on the control thread. */
public interface DocumentSources {
  /** Reads a document from the store. */
  void readStore(DocumentKind kind, Consumer<StoreResponse> answer);

  /**
   * Asks another host for all documents that it has; the answer is empty if there is none.
   *
   * @param known what is known here, so that equal contents need not travel
   */
  void queryPeer(Address peer, DocumentCache known, Consumer<Optional<List<PeerDocument>>> answer);

  /** What the store said. */
  sealed interface StoreResponse {
    /** It has this document. */
    record Read(String content, String digest, long version) implements StoreResponse {}

    /** Nothing can be made of what came, if anything did. */
    record Failed(String problem) implements StoreResponse {}
  }

  /**
   * What another host has.
   *
   * @param content empty if the content is the one known here
   * @param ageMillis how long before its answer the other host's proof began
   */
  record PeerDocument(
      DocumentKind kind, Optional<String> content, String digest, long version, long ageMillis) {}
}
