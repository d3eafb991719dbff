package org.gatereel.forward.peer;

import java.util.function.Consumer;
import java.util.function.Predicate;
import org.gatereel.core.forward.DocumentCache;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.Lender;
import org.gatereel.core.limit.Loan;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.model.Address;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.http.StatusServer;

/**
 * Answers other hosts that ask for documents or for loans, or tell their load.
 *
 * <p>Whether the proof of a document is too old is the asker's to say.
 */
public final class PeerServer implements AutoCloseable {
  private static final int OK = 200;
  private static final StatusServer.Page TAKEN = new StatusServer.Page(OK, "");
  private static final StatusServer.Page WHOLE_NEEDED =
      new StatusServer.Page(LoadMessages.WHOLE_NEEDED_STATUS, "");

  /** Another host is to be asked. */
  private static final StatusServer.Page NOT_LENT = new StatusServer.Page(409, "not lent here\n");

  private static final StatusServer.Page MALFORMED = new StatusServer.Page(400, "malformed\n");

  private final ControlThread control;
  private final DocumentCache known;
  private final CoreContext context;
  private final Lender lender;
  private final Predicate<LoadReport> takeLoads;
  private final StatusServer server;

  /**
   * Makes a server; nothing is bound yet.
   *
   * @param context tells how old documents are
   * @param lender lends what all hosts share
   * @param takeLoads takes in a host's load, or returns false if all of it has to be told
   */
  public PeerServer(
      ControlThread control,
      DocumentCache known,
      CoreContext context,
      Lender lender,
      Predicate<LoadReport> takeLoads) {
    this.control = control;
    this.known = known;
    this.context = context;
    this.lender = lender;
    this.takeLoads = takeLoads;
    this.server =
        new StatusServer(control.loop())
            .query(PeerDocuments.PATH, this::documents)
            .ask(LoanMessages.PATH, this::loans)
            .receive(LoadMessages.PATH, this::loads);
  }

  public void start(Address address) {
    server.start(address);
  }

  private StatusServer.Page documents(String question) {
    // The asker takes the age for true, so that it must count the time this host was suspended.
    control.moveClocks();
    return new StatusServer.Page(
        OK, PeerDocuments.answer(question, known, context.nowIncludingSuspensions()));
  }

  private void loans(String question, Consumer<StatusServer.Page> answer) {
    LoanMessages.read(question, ControlThread.nowMillis())
        .ifPresentOrElse(
            asked ->
                lender.lend(
                    asked.subject(),
                    asked.count(),
                    loan -> answer.accept(loan.map(PeerServer::page).orElse(NOT_LENT))),
            () -> answer.accept(MALFORMED));
  }

  private static StatusServer.Page page(Loan loan) {
    return new StatusServer.Page(OK, LoanMessages.writeAnswer(loan));
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
