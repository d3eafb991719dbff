package org.gatereel.forward.peer;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenIssuer;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.model.Address;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.http.StatusServer;

/**
 * Serves documents and tokens to other hosts and receives their load reports.
 *
 * <p>Documents are served with their age; the requesting host decides whether they are too old.
 */
public final class PeerServer implements AutoCloseable {
  private static final int OK = 200;
  private static final StatusServer.Page ACCEPTED =
      new StatusServer.Page(OK, LoadMessages.READS_CHANGES);
  private static final StatusServer.Page FULL_REPORT_NEEDED =
      new StatusServer.Page(LoadMessages.FULL_REPORT_NEEDED_STATUS, LoadMessages.READS_CHANGES);

  /** This host does not issue the requested tokens; another host does. */
  private static final StatusServer.Page NOT_ISSUED_HERE =
      new StatusServer.Page(409, "not lent here\n");

  private static final StatusServer.Page MALFORMED = new StatusServer.Page(400, "malformed\n");

  private final ControlThread control;
  private final DocumentCache documentCache;
  private final CoreContext context;
  private final TokenIssuer issuer;
  private final Predicate<LoadReport> loadReceiver;
  private final StatusServer server;

  /**
   * Makes a server; no address is bound before {@link #start}.
   *
   * @param context the clock for the age of documents
   * @param issuer issues retry and limit tokens to other hosts
   * @param loadReceiver processes a load report; returns false if the full report is needed
   * @param relay relays connections of other hosts to targets
   */
  public PeerServer(
      ControlThread control,
      DocumentCache documentCache,
      CoreContext context,
      TokenIssuer issuer,
      Predicate<LoadReport> loadReceiver,
      BiConsumer<FullHttpRequest, Channel> relay) {
    this.control = control;
    this.documentCache = documentCache;
    this.context = context;
    this.issuer = issuer;
    this.loadReceiver = loadReceiver;
    this.server =
        new StatusServer(control.loop())
            .addQueryPage(PeerDocuments.PATH, this::serveDocuments)
            .addAsyncPage(TokenMessages.PATH, this::issueTokens)
            .addReceiver(LoadMessages.PATH, this::receiveLoadReport)
            .setConnectHandler(relay);
  }

  public void start(Address address) {
    server.start(address);
  }

  private StatusServer.Page serveDocuments(String requestTarget) {
    // The age must include any time for which this host was suspended.
    control.updateClocks();
    return new StatusServer.Page(
        OK,
        PeerDocuments.writeResponse(
            requestTarget, documentCache, context.nowIncludingSuspensions()));
  }

  private void issueTokens(String requestTarget, Consumer<StatusServer.Page> callback) {
    TokenMessages.readQuery(requestTarget, ControlThread.nowMillis())
        .ifPresentOrElse(
            query ->
                issuer.issue(
                    query.subject(),
                    query.count(),
                    grant -> callback.accept(grant.map(PeerServer::page).orElse(NOT_ISSUED_HERE))),
            () -> callback.accept(MALFORMED));
  }

  private static StatusServer.Page page(TokenGrant grant) {
    return new StatusServer.Page(OK, TokenMessages.writeResponse(grant));
  }

  private StatusServer.Page receiveLoadReport(byte[] body) {
    return LoadMessages.read(body, ControlThread.nowMillis())
        .map(report -> loadReceiver.test(report) ? ACCEPTED : FULL_REPORT_NEEDED)
        .orElse(MALFORMED);
  }

  @Override
  public void close() {
    server.close();
  }
}
