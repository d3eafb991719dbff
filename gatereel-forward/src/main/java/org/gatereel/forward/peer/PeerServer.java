package org.gatereel.forward.peer;

import java.util.function.Predicate;
import java.util.function.ToIntBiFunction;
import org.gatereel.core.forward.DocumentCache;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.http.StatusServer;

/**
 * Answers other hosts that ask for documents or for repeats, or tell their load.
 *
 * <p>Whether the proof of a document is too old is the asker's to say.
 */
public final class PeerServer implements AutoCloseable {
  private static final int OK = 200;
  private static final StatusServer.Page TAKEN = new StatusServer.Page(OK, "");
  private static final StatusServer.Page WHOLE_NEEDED =
      new StatusServer.Page(LoadMessages.WHOLE_NEEDED_STATUS, "");
  private static final StatusServer.Page MALFORMED = new StatusServer.Page(400, "malformed\n");

  private final ControlThread control;
  private final DocumentCache known;
  private final CoreContext context;
  private final ToIntBiFunction<ServiceName, Integer> lend;
  private final Predicate<LoadReport> takeLoads;
  private final StatusServer server;

  /**
   * Makes a server; nothing is bound yet.
   *
   * @param context tells how old documents are
   * @param lend lends repeats of a service's requests, and returns how many of those asked for
   * @param takeLoads takes in a host's load, or returns false if all of it has to be told
   */
  public PeerServer(
      ControlThread control,
      DocumentCache known,
      CoreContext context,
      ToIntBiFunction<ServiceName, Integer> lend,
      Predicate<LoadReport> takeLoads) {
    this.control = control;
    this.known = known;
    this.context = context;
    this.lend = lend;
    this.takeLoads = takeLoads;
    this.server =
        new StatusServer(control.loop())
            .query(PeerDocuments.PATH, this::documents)
            .query(RepeatLending.PATH, this::repeats)
            .receive(LoadMessages.PATH, this::loads);
  }

  public void start(Address address) {
    server.start(address);
  }

  private StatusServer.Page documents(String question) {
    // The asker takes the age for true, so that it must count the time this host was suspended.
    control.moveClocks();
    return new StatusServer.Page(
        OK, PeerDocuments.answer(question, known, context.knowledgeTime()));
  }

  private StatusServer.Page repeats(String question) {
    return RepeatLending.read(question)
        .map(asked -> lend.applyAsInt(asked.service(), asked.count()))
        .map(lent -> new StatusServer.Page(OK, Integer.toString(lent)))
        .orElse(MALFORMED);
  }

  private StatusServer.Page loads(byte[] body) {
    return LoadMessages.read(body, ControlThread.nowMillis())
        .map(report -> takeLoads.test(report) ? TAKEN : WHOLE_NEEDED)
        .orElse(MALFORMED);
  }

  @Override
  public void close() {
    server.close();
  }
}
