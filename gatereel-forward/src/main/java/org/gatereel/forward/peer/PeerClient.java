package org.gatereel.forward.peer;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.forward.DocumentCache;
import org.gatereel.core.forward.DocumentSources.PeerReading;
import org.gatereel.core.model.Address;
import org.gatereel.forward.http.DocumentClient;

/** Asks one other host at a time for documents, over a connection that is kept while it serves. */
public final class PeerClient implements AutoCloseable {
  /** Hosts of a data centre answer in a few milliseconds unless they stand still. */
  private static final long TIMEOUT_MILLIS = 250;

  private static final int OK = 200;

  private final EventLoop loop;
  private DocumentClient client;
  private Address peer;

  public PeerClient(EventLoop loop) {
    this.loop = loop;
  }

  /** Asks a host for what it has; the answer is empty if there is none in time. */
  public void fetch(
      Address host, DocumentCache known, Consumer<Optional<List<PeerReading>>> answer) {
    if (!host.equals(peer)) {
      close();
      client = new DocumentClient(loop, host);
      peer = host;
    }
    client.get(
        PeerDocuments.writeQuery(known), TIMEOUT_MILLIS, document -> answer.accept(read(document)));
  }

  private static Optional<List<PeerReading>> read(Optional<DocumentClient.Document> document) {
    return document
        .filter(found -> found.status() == OK)
        .flatMap(found -> PeerDocuments.readResponse(found.body()));
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
