package org.gatereel.forward.peer;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenPort;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.model.Address;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.http.DocumentClient;

/**
 * Requests retry and limit tokens from the hosts that issue them.
 *
 * <p>Requests to one host are sent one at a time over one connection, which is closed when unused.
 */
public final class TokenClient implements TokenPort, AutoCloseable {
  /** A caller's request waits for the response, which usually takes a few milliseconds. */
  private static final long TIMEOUT_MILLIS = 150;

  /** Shorter, because the host that sent the request waits for this response as well. */
  private static final long FORWARDED_TIMEOUT_MILLIS = 60;

  /** Hosts that issue tokens in use receive several requests per second. */
  private static final long IDLE_CONNECTION_TIMEOUT_MILLIS = 10_000;

  private static final int OK = 200;
  private static final byte[] NO_BODY = {};

  private final ControlThread control;
  private final Map<Address, Connection> connections = new HashMap<>();

  private record PendingRequest(
      TokenRequest subject, int count, Consumer<Optional<TokenGrant>> callback) {
    long timeoutMillis() {
      boolean forwarded =
          subject instanceof TokenRequest.LimitTokens requests && requests.forwarded();
      return forwarded ? FORWARDED_TIMEOUT_MILLIS : TIMEOUT_MILLIS;
    }
  }

  /** The connection to one host, with the requests that wait for it. */
  private final class Connection {
    private final DocumentClient client;
    private final Queue<PendingRequest> queuedRequests = new ArrayDeque<>();
    private boolean awaitingResponse;
    private long lastUsedMillis;

    private Connection(Address issuer) {
      client = new DocumentClient(control.loop(), issuer);
    }

    private void enqueue(PendingRequest request) {
      lastUsedMillis = ControlThread.nowMillis();
      queuedRequests.add(request);
      sendNext();
    }

    private void sendNext() {
      if (awaitingResponse || queuedRequests.isEmpty()) {
        return;
      }
      awaitingResponse = true;
      PendingRequest request = queuedRequests.remove();
      client.post(
          TokenMessages.writeQuery(request.subject(), request.count(), lastUsedMillis),
          NO_BODY,
          request.timeoutMillis(),
          document -> onResponse(request, document));
    }

    private void onResponse(PendingRequest request, Optional<DocumentClient.Document> document) {
      awaitingResponse = false;
      control.run(() -> request.callback().accept(document.flatMap(TokenClient::read)));
      if (document.isEmpty()) {
        // Each queued request would wait for the same timeout of an unresponsive host.
        failQueuedRequests();
      }
      sendNext();
    }

    private void failQueuedRequests() {
      Queue<PendingRequest> failedRequests = new ArrayDeque<>(queuedRequests);
      queuedRequests.clear();
      failedRequests.forEach(
          request -> control.run(() -> request.callback().accept(Optional.empty())));
    }

    private boolean isIdle(long nowMillis) {
      return !awaitingResponse && nowMillis - lastUsedMillis > IDLE_CONNECTION_TIMEOUT_MILLIS;
    }
  }

  public TokenClient(ControlThread control) {
    this.control = control;
  }

  @Override
  public void requestTokens(
      Address issuer, TokenRequest subject, int count, Consumer<Optional<TokenGrant>> callback) {
    closeIdleConnections();
    connections
        .computeIfAbsent(issuer, Connection::new)
        .enqueue(new PendingRequest(subject, count, callback));
  }

  private static Optional<TokenGrant> read(DocumentClient.Document document) {
    return document.status() == OK && document.isSelfDelimited()
        ? TokenMessages.readResponse(document.body())
        : Optional.empty();
  }

  private void closeIdleConnections() {
    long nowMillis = ControlThread.nowMillis();
    Iterator<Connection> iterator = connections.values().iterator();
    while (iterator.hasNext()) {
      Connection connection = iterator.next();
      if (connection.isIdle(nowMillis)) {
        iterator.remove();
        connection.client.close();
      }
    }
  }

  @Override
  public void close() {
    control
        .loop()
        .execute(() -> connections.values().forEach(connection -> connection.client.close()));
  }
}
