package org.gatereel.forward.peer;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.document.DocumentSources.PeerDocument;
import org.gatereel.core.model.Address;
import org.gatereel.forward.http.DocumentClient;

/** Fetches documents from other hosts; the connection to the host of the last fetch is kept. */
public final class PeerClient implements AutoCloseable {
  /** Well above the usual response time within a data centre. */
  private static final long TIMEOUT_MILLIS = 250;

  private static final int OK = 200;

  private final EventLoop loop;
  private final Set<DocumentClient> open = new HashSet<>();
  private DocumentClient kept;
  private Address keptHost;

  public PeerClient(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Fetches the documents of a host; the result is empty after a timeout or an error. Several
   * fetches may be open at a time.
   *
   * @param known the documents that this host has already
   */
  public void fetch(
      Address host, DocumentCache known, Consumer<Optional<List<PeerDocument>>> callback) {
    DocumentClient client = clientOf(host);
    open.add(client);
    client.get(
        PeerDocuments.writeQuery(known),
        TIMEOUT_MILLIS,
        document -> {
          if (open.remove(client)) {
            keep(host, client);
          }
          callback.accept(read(document));
        });
  }

  private DocumentClient clientOf(Address host) {
    if (!host.equals(keptHost)) {
      return new DocumentClient(loop, host);
    }
    DocumentClient client = kept;
    kept = null;
    keptHost = null;
    return client;
  }

  private void keep(Address host, DocumentClient client) {
    closeKept();
    kept = client;
    keptHost = host;
  }

  private static Optional<List<PeerDocument>> read(Optional<DocumentClient.Document> document) {
    return document
        .filter(received -> received.status() == OK)
        .flatMap(received -> PeerDocuments.readResponse(received.body()));
  }

  private void closeKept() {
    if (kept != null) {
      kept.close();
      kept = null;
      keptHost = null;
    }
  }

  @Override
  public void close() {
    closeKept();
    List<DocumentClient> closing = List.copyOf(open);
    open.clear();
    closing.forEach(DocumentClient::close);
  }
}
