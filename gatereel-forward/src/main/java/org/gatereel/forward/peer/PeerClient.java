package org.gatereel.forward.peer;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.document.DocumentSources.PeerDocument;
import org.gatereel.core.model.Address;
import org.gatereel.forward.http.DocumentClient;

/**
 * Fetches documents from one other host at a time, over a connection kept until the host changes.
 */
public final class PeerClient implements AutoCloseable {
  /** Well above the usual response time within a data centre. */
  private static final long TIMEOUT_MILLIS = 250;

  private static final int OK = 200;

  private final EventLoop loop;
  private DocumentClient client;
  private boolean fetching;
  private Address peer;

  public PeerClient(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Fetches the documents of a host; the result is empty after a timeout or an error. A fetch that
   * is still open ends with an empty result.
   *
   * @param known the documents that this host has already
   */
  public void fetch(
      Address host, DocumentCache known, Consumer<Optional<List<PeerDocument>>> callback) {
    if (fetching || !host.equals(peer)) {
      close();
      client = new DocumentClient(loop, host);
      peer = host;
    }
    fetching = true;
    client.get(
        PeerDocuments.writeQuery(known),
        TIMEOUT_MILLIS,
        document -> {
          fetching = false;
          callback.accept(read(document));
        });
  }

  private static Optional<List<PeerDocument>> read(Optional<DocumentClient.Document> document) {
    return document
        .filter(received -> received.status() == OK)
        .flatMap(received -> PeerDocuments.readResponse(received.body()));
  }

  @Override
  public void close() {
    if (client != null) {
      client.close();
      client = null;
      peer = null;
    }
  }
}
